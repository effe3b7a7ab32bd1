package world

// Region is a site whose failure domains share fast links.
type Region struct {
	name string
}

// NewRegion returns a region.
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

// Region returns the region that the failure domain stands in.
func (d *Domain) Region() *Region { return d.region }

// Link joins two regions.
type Link struct {
	from string
	to   string
	// rate is in bytes a second for each direction, shared by all traffic.
	rate int64
}

// NewLink returns a link that carries rate bytes a second each way.
func NewLink(from, to string, rate int64) *Link {
	return &Link{
		from: from,
		to:   to,
		rate: rate,
	}
}

// Joins reports whether the link joins regions a and b, in either order.
func (l *Link) Joins(a, b string) bool {
	return l.from == a && l.to == b || l.from == b && l.to == a
}

// Rate returns the bytes a second each way.
func (l *Link) Rate() int64 { return l.rate }
