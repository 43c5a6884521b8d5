package config

import (
	"maps"
	"reflect"
	"slices"
)

// Kinds of differences.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Difference is a part that differs between two configurations.
type Difference struct {
	Change string // Added, Removed or Changed
	Part   Part
	Name   string // of the route, service or account
	Place  Place  // in the second configuration, or in the first one for a removed part
	Fields []FieldDifference
}

// FieldDifference is a field that differs. Old and New are a string, a number, a bool, a
// time.Duration or a Kind, and nil for what is absent. Keys are short hashes.
type FieldDifference struct {
	Field    Field
	Item     string // which of several: the service of a route, the accelerator, the two failure domains
	Old, New any
}

// value is a field of a part with its value.
type value struct {
	field Field
	item  string
	value any
}

// Compare returns the differences from a configuration to another one, ordered by the kind of the part.
// Parts are identified by their names; of parts with the same name the first is compared with the first.
func Compare(from, to *Content) []Difference {
	var out []Difference
	if d := compareFields(values(value{"", "", from.Version}), values(value{"", "", to.Version})); len(d) > 0 {
		out = append(out, Difference{Change: Changed, Part: PartVersion, Place: Place{Part: PartVersion}, Fields: d})
	}
	if d := compareFields(limitValues(from.Limits), limitValues(to.Limits)); len(d) > 0 {
		out = append(out, Difference{Change: Changed, Part: PartLimits, Place: Place{Part: PartLimits}, Fields: d})
	}
	out = append(out, compareParts(PartRoute, from.Routes, to.Routes, (*Route).Name, routeValues)...)
	out = append(out, compareParts(PartService, from.Services, to.Services, func(s Service) string { return s.Name }, serviceValues)...)
	return append(out, compareParts(PartAccount, from.Accounts, to.Accounts, func(a Account) string { return a.Name }, accountValues)...)
}

// compareParts returns the differences between the routes, services or accounts of two configurations.
func compareParts[T any](part Part, from, to []T, name func(T) string, fields func(T) []value) []Difference {
	var out []Difference
	old := map[string][]int{}
	for i, x := range from {
		old[name(x)] = append(old[name(x)], i)
	}
	for i, x := range to {
		d := Difference{Change: Added, Part: part, Name: name(x), Place: Place{Part: part, Index: i}}
		if same := old[d.Name]; len(same) > 0 {
			d.Change, d.Fields = Changed, compareFields(fields(from[same[0]]), fields(x))
			old[d.Name] = same[1:]
		} else {
			d.Fields = compareFields(nil, fields(x))
		}
		if d.Change == Added || len(d.Fields) > 0 {
			out = append(out, d)
		}
	}
	for i, x := range from {
		if slices.Contains(old[name(x)], i) {
			out = append(out, Difference{Change: Removed, Part: part, Name: name(x), Place: Place{Part: part, Index: i}, Fields: compareFields(fields(x), nil)})
		}
	}
	return out
}

// compareFields returns the fields that differ. A field that is absent and one with its zero value are equal,
// except for priorities and kinds, whose zero values mean something.
func compareFields(from, to []value) []FieldDifference {
	var out []FieldDifference
	old, updated := indexValues(from), indexValues(to)
	add := func(v value, before, after any) {
		named := v.field == FieldPriority || v.field == FieldKind
		if before == after || !named && isZero(before) && isZero(after) {
			return
		}
		d := FieldDifference{Field: v.field, Item: v.item, Old: before, New: after}
		if v.field == FieldKeys {
			d.Item = "" // the key itself
		}
		out = append(out, d)
	}
	for _, v := range to {
		add(v, old[v.id()], v.value)
	}
	for _, v := range from {
		if _, ok := updated[v.id()]; !ok {
			add(v, v.value, nil)
		}
	}
	return out
}

// id identifies a value among those of a part.
func (v value) id() [2]string { return [2]string{string(v.field), v.item} }

func indexValues(all []value) map[[2]string]any {
	out := make(map[[2]string]any, len(all))
	for _, v := range all {
		out[v.id()] = v.value
	}
	return out
}

func isZero(v any) bool { return v == nil || reflect.ValueOf(v).IsZero() }

func values(all ...value) []value { return all }

func limitValues(l Limits) []value {
	return values(
		value{FieldHeaderBytes, "", l.HeaderBytes}, value{FieldBodyBytes, "", l.BodyBytes},
		value{FieldHeaderTimeout, "", l.HeaderTimeout}, value{FieldIdleTimeout, "", l.IdleTimeout},
	)
}

func routeValues(r *Route) []value {
	out := values(
		value{FieldHost, "", r.cfg.Host}, value{FieldPrefix, "", r.cfg.Prefix}, value{FieldKind, "", r.cfg.Kind}, value{FieldTimeout, "", r.cfg.Timeout},
		value{FieldTargetLatency, "", r.cfg.TargetLatency}, value{FieldTargetGap, "", r.cfg.TargetGap}, value{FieldPriority, "", r.cfg.Priority},
		value{FieldAttempts, "", r.cfg.Attempts}, value{FieldPublic, "", r.cfg.Public}, value{FieldResumable, "", r.cfg.Resumable},
	)
	if len(r.cfg.Services) == 1 { // the weight of the only service has no effect
		return append(out, value{FieldService, "", r.cfg.Services[0].Service})
	}
	weights := map[string]int{}
	for _, s := range r.cfg.Services {
		weights[s.Service] += s.Weight
	}
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		out = append(out, value{FieldWeight, name, weights[name]})
	}
	return out
}

func serviceValues(s Service) []value {
	out := values(value{FieldHealthPath, "", s.HealthPath}, value{FieldMaxConnections, "", s.MaxConnections}, value{FieldEngine, "", s.Engine != nil})
	e := s.Engine
	if e == nil {
		return out
	}
	out = append(out,
		value{FieldModel, "", e.Model}, value{FieldSlots, "", e.Slots}, value{FieldLayers, "", e.Layers}, value{FieldLayerMemory, "", e.LayerMemory},
		value{FieldTokenMemory, "", e.TokenMemory}, value{FieldStepTime, "", e.StepTime}, value{FieldStepTimePerRequest, "", e.StepTimePerRequest},
		value{FieldStepTimePerContext, "", e.StepTimePerContext}, value{FieldPrefillRate, "", e.PrefillRate}, value{FieldPrefillTimePerPairs, "", e.PrefillTimePerPairs},
		value{FieldPrefillChunk, "", e.PrefillChunk}, value{FieldStride, "", e.Stride}, value{FieldActivationBytes, "", e.ActivationBytes},
		value{FieldLinkMbps, "", e.LinkMbps}, value{FieldInterDomainMbps, "", e.InterDomainMbps}, value{FieldLoadTime, "", e.LoadTime},
		value{FieldLoadsAtOnce, "", e.LoadsAtOnce}, value{FieldReportLag, "", e.ReportLag},
		value{FieldMeanPromptTokens, "", e.MeanPromptTokens}, value{FieldMeanAnswerTokens, "", e.MeanAnswerTokens},
	)
	for _, name := range slices.Sorted(maps.Keys(e.Accelerators)) {
		a := e.Accelerators[name]
		out = append(out, value{FieldMemory, name, a.Memory}, value{FieldStepFactor, name, a.StepFactor}, value{FieldPrefillFactor, name, a.PrefillFactor})
	}
	delays := slices.SortedFunc(maps.Keys(e.Delays), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	for _, d := range delays {
		out = append(out, value{FieldDelay, d[0] + " " + d[1], e.Delays[d]})
	}
	return out
}

func accountValues(a Account) []value {
	var out []value
	if a.HasPriority {
		out = append(out, value{FieldPriority, "", a.Priority})
	}
	for _, key := range a.Keys {
		out = append(out, value{FieldKeys, key, KeyHash(key)})
	}
	return out
}
