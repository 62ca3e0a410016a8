package admin

import (
	"net/netip"
	"regexp"
	"strings"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/auth"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
)

// maxPriority is the highest priority of a program.
const maxPriority = 9

var (
	nameRule = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hashRule = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
)

// Validate checks an object and returns one error that lists all problems, or nil.
func Validate(object *rookpassv1.Object) error {
	v := &validation{}
	if object == nil || object.Key == nil {
		return verdict.Refuse(verdict.Invalid, "object or key is missing")
	}
	if _, known := config.Key(object.Key); !known {
		v.addProblem("kind is missing or unknown")
	}
	v.check(nameRule.MatchString(object.Key.Name), "name must be lower-case letters, digits and '-', 1 to 63")
	v.check(object.Key.Name != auth.RootOperator || object.Key.Kind != rookpassv1.Kind_KIND_OPERATOR,
		"operator name 'root' is taken by the settings")
	v.check(kindOf(object) == object.Key.Kind, "spec does not belong to the key's kind")
	v.organisation(object.GetOrganisation())
	v.definition(object.GetDefinition())
	v.backend(object.GetBackendServer())
	v.operator(object.GetOperator())
	if len(v.problems) > 0 {
		return verdict.Refuse(verdict.Invalid, "%s", strings.Join(v.problems, "; "))
	}
	return nil
}

func kindOf(object *rookpassv1.Object) rookpassv1.Kind {
	switch object.Spec.(type) {
	case *rookpassv1.Object_Organisation:
		return rookpassv1.Kind_KIND_ORGANISATION
	case *rookpassv1.Object_Definition:
		return rookpassv1.Kind_KIND_DEFINITION
	case *rookpassv1.Object_BackendServer:
		return rookpassv1.Kind_KIND_BACKEND_SERVER
	case *rookpassv1.Object_Operator:
		return rookpassv1.Kind_KIND_OPERATOR
	default:
		return rookpassv1.Kind_KIND_UNSPECIFIED
	}
}

// validation collects the problems of an object.
type validation struct{ problems []string }

func (v *validation) addProblem(problem string) { v.problems = append(v.problems, problem) }

func (v *validation) check(holds bool, problem string) {
	if !holds {
		v.addProblem(problem)
	}
}

func (v *validation) hashes(hashes []string) {
	for _, hash := range hashes {
		v.check(hashRule.MatchString(hash), "secret_hashes must be SHA-256 in hex")
	}
}

func (v *validation) organisation(spec *rookpassv1.Organisation) {
	if spec == nil {
		return
	}
	v.check(len(spec.SecretHashes) > 0, "secret_hashes is missing")
	v.hashes(spec.SecretHashes)
	v.check(spec.BudgetTokens >= 0, "budget_tokens is negative")
	v.check(spec.Weight >= 0, "weight is negative")
	v.check(spec.MaxCalls >= 0, "max_calls is negative")
}

func (v *validation) definition(spec *rookpassv1.Definition) {
	if spec == nil {
		return
	}
	v.check(spec.BudgetTokens > 0, "budget_tokens must be above 0")
	v.check(spec.MaxPriority >= 0 && spec.MaxPriority <= maxPriority, "max_priority must be 0 to 9")
	v.check(spec.MaxTurns >= 0, "max_turns is negative")
	v.check(spec.MaxRepeats >= 0, "max_repeats is negative")
	v.check(spec.DefaultMaxTokens >= 0, "default_max_tokens is negative")
	v.check(spec.ServiceTimeoutMs >= 0, "service_timeout_ms is negative")
	v.check(len(spec.Models)+len(spec.Services)+len(spec.SubAgents) > 0, "models, services and sub_agents are all empty")
}

func (v *validation) backend(spec *rookpassv1.BackendServer) {
	if spec == nil {
		return
	}
	_, err := netip.ParseAddrPort(spec.Address)
	v.check(err == nil, "address is not IP:port")
	v.check(len(spec.Serves) > 0, "serves is empty")
	v.check(spec.MaxConcurrency >= 0, "max_concurrency is negative")
	v.check(spec.CallCostTokens >= 0, "call_cost_tokens is negative")
	switch spec.Kind {
	case rookpassv1.CallKind_CALL_KIND_MODEL, rookpassv1.CallKind_CALL_KIND_TOOL, rookpassv1.CallKind_CALL_KIND_PLAIN:
	default:
		v.addProblem("kind of a backend server must be model, tool or plain")
	}
}

func (v *validation) operator(spec *rookpassv1.OperatorAccount) {
	if spec == nil {
		return
	}
	v.check(len(spec.SecretHashes) > 0, "secret_hashes is missing")
	v.hashes(spec.SecretHashes)
	v.check(spec.Role == rookpassv1.Role_ROLE_VIEWER || spec.Role == rookpassv1.Role_ROLE_ADMIN, "role must be viewer or admin")
}
