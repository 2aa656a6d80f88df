package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// principal is who sends a request. An operator has no team.
type principal struct {
	operator bool
	team     unit.Team
	token    string // first digits of the token's hash, to name the author
}

// name returns how the principal is recorded as author.
func (p principal) name() string {
	if p.operator {
		return "operator/" + p.token
	}
	return string(p.team) + "/" + p.token
}

// sees reports whether p may see what belongs to team.
func (p principal) sees(team unit.Team) bool { return p.operator || p.team == team }

// hashDigits is how much of a token's hash names an author.
const hashDigits = 8

// authenticate finds the principal of r. Every listed token is compared, so
// that the time does not tell which one matched. Without any operator token in
// the text, only the bootstrap token of the settings makes an operator.
func authenticate(r *http.Request, text *service.Text, bootstrap service.TokenHash) (principal, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return principal{}, false
	}
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	p := principal{token: hash[:hashDigits]}
	found := equal(hash, bootstrap)
	p.operator = found
	if text == nil {
		return p, found
	}
	for _, h := range text.Operators {
		if equal(hash, h) {
			p.operator, found = true, true
		}
	}
	for i := range text.Teams {
		for _, h := range text.Teams[i].Tokens {
			if equal(hash, h) && !p.operator {
				p.team, found = text.Teams[i].Name, true
			}
		}
	}
	return p, found
}

func equal(hash string, listed service.TokenHash) bool {
	return subtle.ConstantTimeCompare([]byte(hash), []byte(listed)) == 1
}
