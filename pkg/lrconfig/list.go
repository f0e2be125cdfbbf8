package lrconfig

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// A List is the content of one INI file that an operator applies: any of plans, accounts, models and routes.
type List struct {
	Plans    map[string]Plan
	Accounts map[string]Account
	Catalog  Catalog
}

// ParseList reads a list from INI text. It returns every mistake that it finds, each with section, key and remedy; source
// names the text in them.
func ParseList(source string, data []byte) (List, []error) {
	list := List{Plans: map[string]Plan{}, Accounts: map[string]Account{}}
	file, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, data)
	if err != nil {
		return list, []error{fmt.Errorf("%s: not an INI file: %w", source, err)}
	}
	parser := &listParser{source: source, list: &list}
	for _, section := range file.Sections() {
		parser.parseSection(section)
	}
	return list, parser.mistakes
}

type listParser struct {
	source   string
	list     *List
	mistakes []error
}

func (p *listParser) parseSection(section *ini.Section) {
	if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
		return
	}
	kind, name, _ := strings.Cut(section.Name(), " ")
	if name == "" {
		p.report(section, "", "name is missing; write [%s NAME]", kind)
		return
	}
	switch kind {
	case "plan":
		p.parsePlan(section, name)
	case "account":
		p.parseAccount(section, name)
	case "model":
		p.parseModel(section, name)
	case "route":
		p.parseRoute(section, name)
	default:
		p.report(section, "", "unknown kind of section %q%s; use plan, account, model or route", kind,
			Suggest(kind, []string{"plan", "account", "model", "route"}))
	}
}

func (p *listParser) parsePlan(section *ini.Section, name string) {
	p.checkKeys(section, "models", "adapters", "rate", "burst", "priority")
	p.list.Plans[name] = Plan{
		Name:     name,
		Models:   section.Key("models").Strings(","),
		Adapters: section.Key("adapters").Strings(","),
		Rate:     p.positive(section, "rate"),
		Burst:    p.positive(section, "burst"),
		Priority: p.integer(section, "priority"),
	}
}

func (p *listParser) parseAccount(section *ini.Section, name string) {
	p.checkKeys(section, "plan")
	plan := section.Key("plan").String()
	if plan == "" {
		p.report(section, "plan", "is missing; name a plan")
	}
	p.list.Accounts[name] = Account{Name: name, Plan: plan}
}

func (p *listParser) parseModel(section *ini.Section, name string) {
	p.checkKeys(section, "version", "adapters")
	version := section.Key("version").String()
	if version == "" {
		p.report(section, "version", "is missing; name the weights version")
	}
	p.list.Catalog.Models = append(p.list.Catalog.Models, Model{
		Name: name, Version: version, Adapters: section.Key("adapters").Strings(","),
	})
}

func (p *listParser) parseRoute(section *ini.Section, name string) {
	p.checkKeys(section, "path", "service", "open", "paid", "query", "priority")
	route := Route{
		Name:     name,
		Path:     section.Key("path").String(),
		Service:  section.Key("service").String(),
		Open:     p.boolean(section, "open"),
		Paid:     p.boolean(section, "paid"),
		Query:    section.Key("query").String(),
		Priority: p.integer(section, "priority"),
	}
	if !strings.HasPrefix(route.Path, "/") {
		p.report(section, "path", "must start with /")
	}
	if route.Service == "" {
		p.report(section, "service", "is missing; name a plain service")
	}
	if route.Open && route.Paid {
		p.report(section, "open", "must be false on a paid route")
	}
	p.list.Catalog.Routes = append(p.list.Catalog.Routes, route)
}

func (p *listParser) checkKeys(section *ini.Section, allowed ...string) {
	known := make(map[string]bool, len(allowed))
	for _, a := range allowed {
		known[a] = true
	}
	for _, k := range section.Keys() {
		if !known[k.Name()] {
			p.report(section, k.Name(), "is unknown%s; allowed are %s", Suggest(k.Name(), allowed), strings.Join(allowed, ", "))
		}
	}
}

func (p *listParser) positive(section *ini.Section, key string) float64 {
	value, err := section.Key(key).Float64()
	if err != nil || value <= 0 {
		p.report(section, key, "must be a number above 0")
		return 0
	}
	return value
}

func (p *listParser) integer(section *ini.Section, key string) int {
	if !section.HasKey(key) {
		return 0
	}
	value, err := section.Key(key).Int()
	if err != nil {
		p.report(section, key, "must be a whole number")
	}
	return value
}

func (p *listParser) boolean(section *ini.Section, key string) bool {
	if !section.HasKey(key) {
		return false
	}
	value, err := section.Key(key).Bool()
	if err != nil {
		p.report(section, key, "must be true or false")
	}
	return value
}

func (p *listParser) report(section *ini.Section, key, format string, args ...any) {
	place := fmt.Sprintf("%s: [%s]", p.source, section.Name())
	if key != "" {
		place += " " + key
	}
	p.mistakes = append(p.mistakes, fmt.Errorf("%s: %s", place, fmt.Sprintf(format, args...)))
}
