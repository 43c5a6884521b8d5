package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// Part is a kind of part of a Content.
type Part string

// Parts of a Content.
const (
	PartVersion Part = "version"
	PartRoute   Part = "route"
	PartService Part = "service"
	PartLimits  Part = "limits"
	PartAccount Part = "account"
)

// Field is a field of a part, in the words of this package. An adapter replaces it by the
// name that operators write.
type Field string

// Fields of routes.
const (
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "prefix"
	FieldKind          Field = "kind"
	FieldService       Field = "service" // the only one of a route
	FieldWeight        Field = "weight"  // of one of several services of a route
	FieldTimeout       Field = "timeout"
	FieldTargetLatency Field = "target latency"
	FieldTargetGap     Field = "target gap"
	FieldPriority      Field = "priority" // of accounts too
	FieldAttempts      Field = "attempts"
	FieldPublic        Field = "public"
	FieldResumable     Field = "resumable"
)

// Fields of services. Those from FieldModel on belong to the engines.
const (
	FieldHealthPath          Field = "health path"
	FieldMaxConnections      Field = "connections"
	FieldEngine              Field = "engine" // whether the servers are model engines
	FieldModel               Field = "model"
	FieldSlots               Field = "slots"
	FieldLayers              Field = "layers"
	FieldLayerMemory         Field = "layer memory"
	FieldTokenMemory         Field = "token memory"
	FieldStepTime            Field = "step time"
	FieldStepTimePerRequest  Field = "step time per request"
	FieldStepTimePerContext  Field = "step time per context"
	FieldPrefillRate         Field = "prefill rate"
	FieldPrefillTimePerPairs Field = "prefill time per pairs"
	FieldPrefillChunk        Field = "prefill chunk"
	FieldStride              Field = "stride"
	FieldActivationBytes     Field = "activation bytes"
	FieldLinkMbps            Field = "link bandwidth"
	FieldInterDomainMbps     Field = "bandwidth between domains"
	FieldLoadTime            Field = "load time"
	FieldLoadsAtOnce         Field = "loads at once"
	FieldReportLag           Field = "report lag"
	FieldMeanPromptTokens    Field = "mean prompt tokens"
	FieldMeanAnswerTokens    Field = "mean answer tokens"
	FieldMemory              Field = "memory"         // of an accelerator
	FieldStepFactor          Field = "step factor"    // of an accelerator
	FieldPrefillFactor       Field = "prefill factor" // of an accelerator
	FieldDelay               Field = "delay"          // between two failure domains
)

// Fields of limits and accounts.
const (
	FieldHeaderBytes   Field = "header bytes"
	FieldBodyBytes     Field = "body bytes"
	FieldHeaderTimeout Field = "header time-out"
	FieldIdleTimeout   Field = "idle time-out"
	FieldKeys          Field = "keys"
)

// Place is a place in a Content.
type Place struct {
	Part  Part
	Index int    // of the route, service or account
	Field Field  // empty for the whole part
	Item  int    // FieldService, FieldWeight: index of the service; FieldKeys: index of the key
	Name  string // FieldMemory, FieldStepFactor: name of the accelerator
}

// KeyHash returns a short hash of an API key: enough to tell two keys apart, too short to
// verify a guessed one. Keys themselves appear in no finding and no difference.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:4]) + "…"
}
