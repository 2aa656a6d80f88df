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

// principal is the authenticated sender of a request. An operator has no team.
type principal struct {
	operator  bool
	team      unit.Team
	tokenHash string // first digits of the token's SHA-256, used in author names
}

// author returns the name under which changes of the principal are recorded.
func (p principal) author() string {
	if p.operator {
		return "operator/" + p.tokenHash
	}
	return string(p.team) + "/" + p.tokenHash
}

// canView reports whether p may view the resources of a team.
func (p principal) canView(team unit.Team) bool { return p.operator || p.team == team }

// authorHashDigits is the number of digits of a token's hash in an author name.
const authorHashDigits = 8

// authenticate returns the principal of r, and false if no token matches. It
// compares every listed token, so that the response time does not reveal which
// one matched. The bootstrap token of the settings also authenticates an
// operator, whatever the text lists.
func authenticate(r *http.Request, text *service.Text, bootstrap service.TokenHash) (principal, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return principal{}, false
	}
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	p := principal{tokenHash: hash[:authorHashDigits]}
	found := matchesHash(hash, bootstrap)
	p.operator = found
	if text == nil {
		return p, found
	}
	for _, h := range text.Operators {
		if matchesHash(hash, h) {
			p.operator, found = true, true
		}
	}
	for i := range text.Teams {
		for _, h := range text.Teams[i].Tokens {
			if matchesHash(hash, h) && !p.operator {
				p.team, found = text.Teams[i].Name, true
			}
		}
	}
	return p, found
}

// matchesHash compares two hashes in constant time.
func matchesHash(hash string, listed service.TokenHash) bool {
	return subtle.ConstantTimeCompare([]byte(hash), []byte(listed)) == 1
}
