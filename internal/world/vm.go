package world

// Kind identifies what a VM runs.
type Kind uint8

// The kinds of VM.
const (
	// Entry is a VM that runs this system and accepts requests of callers.
	Entry Kind = iota
	// Engine is an upstream VM that runs a model engine.
	Engine
	// Plain is an upstream VM that runs a plain service.
	Plain
)

// String returns the name of the kind in the platform's VM list.
func (k Kind) String() string {
	switch k {
	case Engine:
		return "engine"
	case Plain:
		return "plain"
	default:
		return "entry"
	}
}

// VM is a machine in the platform's list of VMs.
type VM struct {
	name    string
	kind    Kind
	address string
	domain  string
	region  string
	// service is empty for an entry VM.
	service string
	leaving bool
}

// NewVM returns a VM. The address is host:port, domain the name of its failure
// domain, and region the name of its region.
func NewVM(name string, kind Kind, address, domain, region string) *VM {
	return &VM{
		name:    name,
		kind:    kind,
		address: address,
		domain:  domain,
		region:  region,
	}
}

// WithService returns a copy of v that is an upstream of the named service.
func (v *VM) WithService(service string) *VM {
	w := *v
	w.service = service
	return &w
}

// WithLeaving returns a copy of v that is marked as leaving.
func (v *VM) WithLeaving() *VM {
	w := *v
	w.leaving = true
	return &w
}

// Name returns the VM's unique name.
func (v *VM) Name() string { return v.name }

// Kind returns what the VM runs.
func (v *VM) Kind() Kind { return v.kind }

// Address returns the VM's host:port.
func (v *VM) Address() string { return v.address }

// Domain returns the name of the VM's failure domain.
func (v *VM) Domain() string { return v.domain }

// Region returns the name of the VM's region.
func (v *VM) Region() string { return v.region }

// Service returns the name of the service of an upstream VM, or "" for an entry
// VM.
func (v *VM) Service() string { return v.service }

// Leaving reports whether the platform lists the VM as leaving.
func (v *VM) Leaving() bool { return v.leaving }
