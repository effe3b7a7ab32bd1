package decl_test

import (
	"fmt"
	"strings"
	"time"

	"clementinelink.example/clementinelink/pkg/decl"
)

func Example() {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	contract := decl.NewContract(2 * time.Minute)
	d := decl.New().
		Region("gabrovo", "gab-mill", "gab-annex").
		Region("plovdiv", "plv-depot").
		Link("gabrovo", "plovdiv", 3_750_000).
		Model(decl.NewModel("draft", "v1", contract)).
		Plain(decl.NewPlain("orders", decl.NewContract(5*time.Second),
			decl.NewRoute("status", "GET", "/orders/", 2*time.Second).Repeatable(),
			decl.NewRoute("run", "POST", "/looms/run", 5*time.Second))).
		Workspace("atelier", strings.Repeat("0a", 32), 4, decl.Interactive).
		Move(decl.NewMove("draft-v2", "draft", "v1", "v2").
			Between(start, start.Add(2*time.Hour)).
			WithTrial(5))
	if err := d.Check(start); err != nil {
		fmt.Println(err)
	}
	data, err := d.Print()
	if err != nil {
		fmt.Println(err)
	}
	fmt.Println(strings.Count(string(data), "\n"), "lines")
	for _, line := range decl.Diff(decl.New(), d)[:2] {
		fmt.Println(line)
	}
	// Output:
	// 85 lines
	// + link gabrovo plovdiv: from gabrovo, rate 3750000, to plovdiv
	// + model draft: contract.deadline 2m0s, contract.first 330ms, contract.gap 64ms, contract.resume 4s, contract.target 95, fenced false, stable v1
}
