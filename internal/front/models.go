package front

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/go-chi/chi/v5"

	"clementinelink.example/clementinelink/internal/world"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

func newModelItem(name string) modelItem {
	return modelItem{
		ID:     name,
		Object: "model",
		Owner:  "clementinelink",
	}
}

// models serves the list of model services, sorted by name.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	m, _, p := s.authenticate(r)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	list := modelList{
		Object: "list",
		Data:   []modelItem{},
	}
	for name, sv := range m.Services() {
		if sv.Kind() == world.Engine {
			list.Data = append(list.Data, newModelItem(name))
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(w, list)
}

// model serves the description of one model service.
func (s *Server) model(w http.ResponseWriter, r *http.Request) {
	m, _, p := s.authenticate(r)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	name := chi.URLParam(r, "model")
	if sv := m.Service(name); sv == nil || sv.Kind() != world.Engine {
		WriteProblem(w, unknownModel(name))
		return
	}
	writeJSON(w, newModelItem(name))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
