package world

// Region is a site: a group of failure domains with fast links between them.
type Region struct {
	name string
}

// NewRegion returns a region with the name.
func NewRegion(name string) *Region { return &Region{name: name} }

// Name returns the region's name.
func (r *Region) Name() string { return r.name }

// Domain is a failure domain: a set of VMs that can fail together.
type Domain struct {
	name   string
	region *Region
}

// NewDomain returns a failure domain of the region.
func NewDomain(name string, region *Region) *Domain {
	return &Domain{
		name:   name,
		region: region,
	}
}

// Name returns the failure domain's name.
func (d *Domain) Name() string { return d.name }

// Region returns the region to which the failure domain belongs.
func (d *Domain) Region() *Region { return d.region }

// Link is a network link between two regions.
type Link struct {
	from string
	to   string
	// rate is the capacity in bytes per second for each direction, shared by
	// all traffic.
	rate int64
}

// NewLink returns a link with a capacity of rate bytes per second in each
// direction.
func NewLink(from, to string, rate int64) *Link {
	return &Link{
		from: from,
		to:   to,
		rate: rate,
	}
}

// Connects reports whether the link connects regions a and b, in either order.
func (l *Link) Connects(a, b string) bool {
	return l.from == a && l.to == b || l.from == b && l.to == a
}

// Rate returns the capacity in bytes per second for each direction.
func (l *Link) Rate() int64 { return l.rate }
