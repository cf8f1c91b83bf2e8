package dynamic

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"cassialatch.dev/config/internal/document"
	"cassialatch.dev/config/problem"
)

var (
	pathPattern   = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

func readRules(t *document.Table, into *[]Rule) {
	var rules []Rule
	for _, item := range t.TableArray("rules") {
		rules = append(rules, readRule(item))
	}
	*into = rules
}

func readRule(t *document.Table) Rule {
	var r Rule
	t.Require("prefix")
	if t.String("prefix", &r.Prefix) && !pathPattern.MatchString(r.Prefix) {
		t.Report("prefix", problem.OutOfRange, "a path that starts with /", strconv.Quote(r.Prefix))
	}
	if t.Strings("methods", &r.Methods) {
		checkMethods(t, r.Methods)
	}
	t.Bool("idempotent", &r.Idempotent)
	readClass(t, "class", &r.Class)
	return r
}

func checkMethods(t *document.Table, methods []string) {
	seen := make(map[string]bool, len(methods))
	for i, m := range methods {
		if !methodPattern.MatchString(m) {
			t.ReportItem("methods", i, problem.OutOfRange, "an HTTP method in capitals", strconv.Quote(m))
		} else if seen[m] {
			t.ReportItem("methods", i, problem.Duplicate, "each method once", strconv.Quote(m))
		}
		seen[m] = true
	}
}

func formatRules(rules []Rule) string {
	texts := make([]string, len(rules))
	for i, r := range rules {
		texts[i] = formatRule(r)
	}
	return "[" + strings.Join(texts, ", ") + "]"
}

func formatRule(r Rule) string {
	var b strings.Builder
	fmt.Fprintf(&b, "{prefix = %s", strconv.Quote(r.Prefix))
	if len(r.Methods) > 0 {
		fmt.Fprintf(&b, ", methods = %s", quoteAll(r.Methods))
	}
	fmt.Fprintf(&b, ", idempotent = %t", r.Idempotent)
	if r.Class != "" {
		fmt.Fprintf(&b, ", class = %s", quoteClass(r.Class))
	}
	return b.String() + "}"
}
