package config

import "jayshift/core/wire"

// Kinds of resources, as written in resource files and in the store.
const (
	KindTeam             = "team"
	KindKey              = "key"
	KindService          = "service"
	KindBackendServer    = "backend-server"
	KindShift            = "shift"
	KindRegion           = "region"
	KindAvailabilityZone = "availability-zone"
	KindLink             = "link"
	KindSite             = "site"
	KindClientBlocks     = "client-blocks"
	KindDrain            = "drain"
	KindHost             = "host"
)

// ResourceID identifies a resource. A name is unique only within its kind.
type ResourceID struct {
	Kind string
	Name string
}

// IDOf returns the ID of the resource.
func IDOf(r wire.Resource) ResourceID {
	return ResourceID{Kind: r.Kind, Name: r.Name}
}

// ContentOf returns a pointer to the typed content of the resource, or nil when the kind is unknown or the content is
// missing.
func ContentOf(r wire.Resource) any {
	switch {
	case r.Kind == KindTeam && r.Team != nil:
		return r.Team
	case r.Kind == KindKey && r.Key != nil:
		return r.Key
	case r.Kind == KindService && r.Service != nil:
		return r.Service
	case r.Kind == KindBackendServer && r.BackendServer != nil:
		return r.BackendServer
	case r.Kind == KindShift && r.Shift != nil:
		return r.Shift
	case r.Kind == KindRegion && r.Region != nil:
		return r.Region
	case r.Kind == KindAvailabilityZone && r.AvailabilityZone != nil:
		return r.AvailabilityZone
	case r.Kind == KindLink && r.Link != nil:
		return r.Link
	case r.Kind == KindSite && r.Site != nil:
		return r.Site
	case r.Kind == KindClientBlocks && r.ClientBlocks != nil:
		return r.ClientBlocks
	case r.Kind == KindDrain && r.Drain != nil:
		return r.Drain
	}
	return nil
}

// InitContent sets the content of the resource's kind to its zero value and returns a pointer to it, or nil when the
// kind is unknown.
func InitContent(r *wire.Resource) any {
	switch r.Kind {
	case KindTeam:
		r.Team = &wire.Team{}
	case KindKey:
		r.Key = &wire.Key{}
	case KindService:
		r.Service = &wire.Service{}
	case KindBackendServer:
		r.BackendServer = &wire.BackendServer{}
	case KindShift:
		r.Shift = &wire.Shift{}
	case KindRegion:
		r.Region = &wire.Region{}
	case KindAvailabilityZone:
		r.AvailabilityZone = &wire.AvailabilityZone{}
	case KindLink:
		r.Link = &wire.Link{}
	case KindSite:
		r.Site = &wire.Site{}
	case KindClientBlocks:
		r.ClientBlocks = &wire.ClientBlocks{}
	case KindDrain:
		r.Drain = &wire.Drain{}
	}
	return ContentOf(*r)
}
