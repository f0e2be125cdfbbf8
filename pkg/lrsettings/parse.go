package lrsettings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"
	"unicode"

	"gopkg.in/ini.v1"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

// Parse reads settings from INI text. Keys that the text leaves out keep their defaults. It returns every mistake that it
// finds; source names the text in them.
func Parse(source string, data []byte) (Settings, []error) {
	settings := Default()
	file, err := ini.LoadSources(ini.LoadOptions{}, data)
	if err != nil {
		return settings, []error{fmt.Errorf("%s: not an INI file: %w", source, err)}
	}
	parser := &parser{source: source}
	root := reflect.ValueOf(&settings).Elem()
	for _, s := range file.Sections() {
		parser.parseSection(s, root)
	}
	parser.checkRequired(settings)
	return settings, parser.mistakes
}

// The names of sections whose keys may be empty.
const (
	sectionInstance = "instance"
	sectionRollouts = "rollouts"
)

type parser struct {
	source   string
	mistakes []error
}

func (p *parser) parseSection(section *ini.Section, root reflect.Value) {
	if section.Name() == ini.DefaultSection {
		for _, k := range section.Keys() {
			p.report(section.Name(), k.Name(), "stands before the first section; move it into one")
		}
		return
	}
	target, ok := fieldByININame(root, section.Name())
	if !ok {
		p.report(section.Name(), "", "unknown section%s; allowed are %s",
			lrconfig.Suggest(section.Name(), fieldNames(root)), strings.Join(fieldNames(root), ", "))
		return
	}
	for _, k := range section.Keys() {
		p.parseKey(section.Name(), k, target)
	}
}

func (p *parser) parseKey(section string, key *ini.Key, target reflect.Value) {
	field, ok := fieldByININame(target, key.Name())
	if !ok {
		p.report(section, key.Name(), "is unknown%s; allowed are %s",
			lrconfig.Suggest(key.Name(), fieldNames(target)), strings.Join(fieldNames(target), ", "))
		return
	}
	if key.String() == "" && mayBeEmpty(section, key.Name()) {
		return
	}
	switch field.Interface().(type) {
	case string:
		field.SetString(key.String())
	case []string:
		field.Set(reflect.ValueOf(key.Strings(",")))
	case time.Duration:
		p.parseDuration(section, key, field)
	case int, int64:
		p.parseInt(section, key, field)
	case float64:
		p.parseFloat(section, key, field)
	case bool:
		p.parseBool(section, key, field)
	}
}

// mayBeEmpty reports whether an empty value means the default: the platform fills these keys in and leaves those empty that a deployment does
// not have.
func mayBeEmpty(section, key string) bool {
	switch section {
	case sectionRollouts:
		return key == "exposureShare"
	case sectionInstance:
		return key == "memoryMB" || key == "maxDescriptors"
	default:
		return false
	}
}

func (p *parser) parseFloat(section string, key *ini.Key, field reflect.Value) {
	value, err := key.Float64()
	if err != nil || value < 0 {
		p.report(section, key.Name(), "must be a number of at least 0")
		return
	}
	field.SetFloat(value)
}

func (p *parser) parseBool(section string, key *ini.Key, field reflect.Value) {
	value, err := key.Bool()
	if err != nil {
		p.report(section, key.Name(), "must be true or false")
		return
	}
	field.SetBool(value)
}

func (p *parser) parseDuration(section string, key *ini.Key, field reflect.Value) {
	value, err := key.Duration()
	if err != nil || value < 0 {
		p.report(section, key.Name(), "must be a duration such as 500ms or 2s")
		return
	}
	field.SetInt(int64(value))
}

func (p *parser) parseInt(section string, key *ini.Key, field reflect.Value) {
	value, err := key.Int64()
	if err != nil || value < 0 {
		p.report(section, key.Name(), "must be a whole number of at least 0")
		return
	}
	field.SetInt(value)
}

func (p *parser) checkRequired(s Settings) {
	if s.Instance.Name == "" {
		p.report("instance", "name", "is missing; give the instance a name that no other has")
	}
	if s.Instance.Zone == "" {
		p.report("instance", "zone", "is missing; name the availability zone")
	}
	if s.Platform.URL == "" {
		p.report("platform", "url", "is missing; give the URL of the platform's object API")
	}
	p.checkAddress("address", s.Instance.Address)
	p.checkAddress("adminAddress", s.Instance.AdminAddress)
	p.checkAddress("peerAddress", s.Instance.PeerAddress)
	p.checkClientLimits(s)
	if s.Log.Format != "json" && s.Log.Format != "console" {
		p.report("log", "format", "must be json or console")
	}
}

// Least values of the limits of clients. Below them ordinary requests would be refused.
const (
	minHeldBytes   = 64 << 10
	minHeaderLines = 64
	minConnections = 8
)

func (p *parser) checkClientLimits(s Settings) {
	if s.Server.MaxHeldBytes < minHeldBytes {
		p.report("server", "maxHeldBytes", "must be at least %d", minHeldBytes)
	}
	if s.Server.MaxHeaderLines > 0 && s.Server.MaxHeaderLines < minHeaderLines {
		p.report("server", "maxHeaderLines", "must be 0 or at least %d", minHeaderLines)
	}
	if s.Server.MaxConnections > 0 && s.Server.MaxConnections < minConnections {
		p.report("server", "maxConnections", "must be 0 or at least %d", minConnections)
	}
	half := int(s.Instance.MemoryMB * (1 << 20) / 2)
	if half > 0 && s.Server.MaxHeldBytes > half {
		p.report("server", "maxHeldBytes", "is more than half of memoryMB; lower it to %d at most", half)
	}
}

func (p *parser) checkAddress(key, value string) {
	_, err := netip.ParseAddrPort(value)
	if err != nil {
		p.report("instance", key, "must be IP:port, such as 10.0.0.1:8080")
	}
}

func (p *parser) report(section, key, format string, args ...any) {
	place := fmt.Sprintf("%s: [%s]", p.source, section)
	if key != "" {
		place += " " + key
	}
	p.mistakes = append(p.mistakes, fmt.Errorf("%s: %s", place, fmt.Sprintf(format, args...)))
}

func fieldByININame(value reflect.Value, name string) (reflect.Value, bool) {
	for n := range value.NumField() {
		if iniName(value.Type().Field(n).Name) == name {
			return value.Field(n), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(value reflect.Value) []string {
	names := make([]string, 0, value.NumField())
	for n := range value.NumField() {
		names = append(names, iniName(value.Type().Field(n).Name))
	}
	return names
}

// iniName returns the camel-case name of a field: its leading initialism or capital becomes lower case.
func iniName(field string) string {
	runes := []rune(field)
	for n := range runes {
		startsWord := n > 0 && n+1 < len(runes) && unicode.IsLower(runes[n+1])
		if !unicode.IsUpper(runes[n]) || startsWord {
			break
		}
		runes[n] = unicode.ToLower(runes[n])
	}
	return string(runes)
}
