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

// entryKey is the key with which measured entry VMs sign cursors.
const entryKey = "00112233445566778899aabbccddeeff"

// configTimeout limits how long a new VM may wait for its first configuration.
const configTimeout = 30 * time.Second

// EntryArgs returns the command-line arguments of a child process that runs
// RunEntryVM. The program must pass it the URLs list and store.
func EntryArgs(list, store string) []string {
	return []string{"entry", "--vms", list, "--store", store}
}

// sample is what the process of an entry VM has used since its start. It is
// sent to the parent process as one line of JSON.
type sample struct {
	// Address is the address on which the VM listens for callers.
	Address string `json:"address"`
	// CPU is in microseconds, Heap and Resident in bytes. Heap counts live objects
	// after a garbage collection. It is 0 if the parent did not ask for it.
	CPU      int64  `json:"cpu"`
	Heap     uint64 `json:"heap"`
	Resident int64  `json:"resident"`
}

// RunEntryVM runs one entry VM with the VM list and the store at the given
// URLs. The store must hold a configuration. RunEntryVM writes a sample of the
// process's resource use to out once the VM is configured, and again after each
// line of in. The line "heap" also runs a garbage collection and measures the
// heap. RunEntryVM returns at the end of in.
func RunEntryVM(ctx context.Context, in io.Reader, out io.Writer, list, store string, log zerolog.Logger) error {
	settings := &node.Settings{
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
	if err := settings.Check(); err != nil {
		return errors.Wrap(err, "slope: entry VM")
	}
	n, err := node.New(settings, log)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	defer n.Close()
	if err := waitForConfig(ctx, n); err != nil {
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

// waitForConfig waits until a configuration is in force.
func waitForConfig(ctx context.Context, n *node.Node) error {
	ctx, stop := context.WithTimeout(ctx, configTimeout)
	defer stop()
	for n.Revision() == 0 {
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			return errors.Wrap(err, "slope: no configuration")
		}
	}
	return nil
}

// writeSample writes one sample as a line of JSON. With collect it runs a
// garbage collection and includes the heap.
func writeSample(out io.Writer, address string, collect bool) error {
	s := sample{
		Address: address,
	}
	used, err := cpuTime()
	if err != nil {
		return err
	}
	s.CPU = used.Microseconds()
	if s.Resident, err = residentBytes(); err != nil {
		return err
	}
	if collect {
		s.Heap = liveHeap()
	}
	data, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "slope: encode sample")
	}
	_, err = fmt.Fprintf(out, "%s\n", data)
	return errors.Wrap(err, "slope: write sample")
}

// residentBytes returns the resident set size of this process.
func residentBytes() (int64, error) {
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

// Child is an entry VM in a child process. It is not safe for concurrent use.
type Child struct {
	process *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Scanner
	// address is the address on which the VM listens for callers.
	address string
}

// Spawn starts the program at path with the given arguments and name as its
// argument 0, and waits until its VM is configured. The program must call
// RunEntryVM on its standard input and output. The process is killed when ctx
// ends.
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
	s, err := c.readSample()
	if err != nil {
		return nil, errors.CombineErrors(err, c.Close())
	}
	c.address = s.Address
	return c, nil
}

// Close ends the child's input, at which it exits, and waits for that.
func (c *Child) Close() error {
	err := c.in.Close()
	return errors.CombineErrors(err, errors.Wrap(c.process.Wait(), "slope: child process"))
}

// readSample reads the next sample from the child's output.
func (c *Child) readSample() (sample, error) {
	var s sample
	if !c.out.Scan() {
		return s, errors.New("slope: the child process ended without a sample")
	}
	return s, errors.Wrap(json.Unmarshal(c.out.Bytes(), &s), "slope: decode sample")
}

// requestSample returns a new sample of the child process. With collect the
// child runs a garbage collection and measures its heap.
func (c *Child) requestSample(collect bool) (sample, error) {
	command := "use\n"
	if collect {
		command = "heap\n"
	}
	if _, err := io.WriteString(c.in, command); err != nil {
		return sample{}, errors.Wrap(err, "slope: request sample")
	}
	return c.readSample()
}

// sleep waits until d has passed, or returns the error of ctx when that ends
// first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
