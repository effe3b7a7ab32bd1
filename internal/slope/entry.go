package slope

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/node"
)

// entryKey signs the cursors of measured entry VMs.
const entryKey = "00112233445566778899aabbccddeeff"

// readyLimit bounds the wait of a new VM for its first configuration.
const readyLimit = 30 * time.Second

// EntryArgs returns the arguments that Spawn's program must hand to Entry.
func EntryArgs(list, store string) []string {
	return []string{"entry", "--vms", list, "--store", store}
}

// sample is what an entry VM's process has used.
type sample struct {
	// Address is where the VM listens for callers.
	Address string `json:"address"`
	// CPU is in microseconds, Heap and Resident in bytes. Heap is that of live
	// objects after a collection.
	CPU      int64  `json:"cpu"`
	Heap     uint64 `json:"heap"`
	Resident int64  `json:"resident"`
}

// Entry runs one entry VM on a VM list and a store that holds a configuration,
// and writes what the process has used once it is configured and after each
// line of in. It returns at the end of in.
func Entry(ctx context.Context, in io.Reader, out io.Writer, list, store string, log zerolog.Logger) error {
	set := &node.Settings{
		Name:   "entry-0",
		Region: "region-0",
		Domain: "domain-0",
		Listen: "127.0.0.1:0",
		Admin:  "127.0.0.1:0",
		Peer:   "127.0.0.1:0",
		Store:  store,
		VMs:    list,
		Keys:   entryKey,
		Seed:   1,
		Level:  "warn",
		Format: "json",
	}
	if err := set.Check(); err != nil {
		return errors.Wrap(err, "slope: entry VM")
	}
	n, err := node.New(set, log)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	defer n.Close()
	if err := configured(ctx, n); err != nil {
		return err
	}
	lines := bufio.NewScanner(in)
	for more := true; more; more = lines.Scan() {
		if err := writeSample(out, n.Addr(), lines.Text() == "heap"); err != nil {
			return err
		}
	}
	return errors.Wrap(lines.Err(), "slope: read commands")
}

// configured waits until a configuration is in force.
func configured(ctx context.Context, n *node.Node) error {
	ctx, stop := context.WithTimeout(ctx, readyLimit)
	defer stop()
	for n.Revision() == 0 {
		if err := wait(ctx, 5*time.Millisecond); err != nil {
			return errors.Wrap(err, "slope: no configuration")
		}
	}
	return nil
}

func writeSample(out io.Writer, address string, collect bool) error {
	s := sample{
		Address: address,
	}
	used, err := processor()
	if err != nil {
		return err
	}
	s.CPU = used.Microseconds()
	if s.Resident, err = resident(); err != nil {
		return err
	}
	if collect {
		s.Heap = live()
	}
	data, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "slope: encode sample")
	}
	_, err = fmt.Fprintf(out, "%s\n", data)
	return errors.Wrap(err, "slope: write sample")
}

// resident returns the resident set of this process in bytes.
func resident() (int64, error) {
	data, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, errors.Wrap(err, "slope: read status")
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmRSS:" {
			kib, err := strconv.ParseInt(f[1], 10, 64)
			return kib << 10, errors.Wrap(err, "slope: parse resident set")
		}
	}
	return 0, errors.New("slope: status has no resident set")
}

// Child is an entry VM in a process of its own.
type Child struct {
	process *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Scanner
	address string
}

// Spawn starts the program with the arguments; name is the program's own name.
// The program must call Entry on its standard input and output.
func Spawn(ctx context.Context, path, name string, args ...string) (*Child, error) {
	c := &Child{
		process: exec.CommandContext(ctx, path, args...),
	}
	c.process.Args[0] = name
	c.process.Stderr = os.Stderr
	var err error
	if c.in, err = c.process.StdinPipe(); err != nil {
		return nil, errors.Wrap(err, "slope: child's input")
	}
	out, err := c.process.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "slope: child's output")
	}
	c.out = bufio.NewScanner(out)
	if err := c.process.Start(); err != nil {
		return nil, errors.Wrap(err, "slope: start child")
	}
	s, err := c.read()
	if err != nil {
		return nil, errors.CombineErrors(err, c.Close())
	}
	c.address = s.Address
	return c, nil
}

// Close ends the child and waits for it.
func (c *Child) Close() error {
	err := c.in.Close()
	return errors.CombineErrors(err, errors.Wrap(c.process.Wait(), "slope: child"))
}

func (c *Child) read() (sample, error) {
	var s sample
	if !c.out.Scan() {
		return s, errors.New("slope: the child ended")
	}
	return s, errors.Wrap(json.Unmarshal(c.out.Bytes(), &s), "slope: decode sample")
}

// ask returns what the child's process has used. With collect it also frees
// what is unused and counts the heap.
func (c *Child) ask(collect bool) (sample, error) {
	command := "use\n"
	if collect {
		command = "heap\n"
	}
	if _, err := io.WriteString(c.in, command); err != nil {
		return sample{}, errors.Wrap(err, "slope: ask child")
	}
	return c.read()
}

// wait sleeps until d has passed or ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
