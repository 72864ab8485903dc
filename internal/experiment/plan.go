// Package experiment runs grids of emulated days over all cores, keeps each
// finished cell durably, and sums the cells up. A cell's result depends on the
// plan and the program alone; only the time it took is the machine's.
package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"pipitmux/internal/emulator"
	"pipitmux/internal/yamlfile"
)

// Plan is an experiment file.
type Plan struct {
	Name     string           `yaml:"name"`
	Scenario string           `yaml:"scenario"` // a file, from the plan's folder
	Policies []string         `yaml:"policies"`
	Seeds    Seeds            `yaml:"seeds"`
	Variants []Variant        `yaml:"variants"` // each with keys of the scenario set otherwise
	Grid     map[string][]any `yaml:"grid"`     // keys of the scenario by the values that each takes
}

// Seeds are from, from+1 and so on.
type Seeds struct {
	From  uint64 `yaml:"from"`
	Count int    `yaml:"count"`
}

// Variant is a named change of the scenario.
type Variant struct {
	Name     string         `yaml:"name"`
	Scenario string         `yaml:"scenario"` // in place of the plan's
	Set      map[string]any `yaml:"set"`
}

// Cell is one day to be played.
type Cell struct {
	Variant string   `json:"variant"`
	Grid    []string `json:"grid"` // key=value, in the order of the keys
	Policy  string   `json:"policy"`
	Seed    uint64   `json:"seed"`
	sc      *emulator.Scenario
}

// Key names the cell among those of its plan.
func (c *Cell) Key() string {
	return fmt.Sprintf("%s|%s|%s|%020d", c.Variant, strings.Join(c.Grid, ","), c.Policy, c.Seed)
}

// Group names the cells that differ in their seeds only.
func (c *Cell) Group() string { return strings.TrimSuffix(c.Key(), fmt.Sprintf("|%020d", c.Seed)) }

const maxCells = 1_000_000

// Read reads a plan with its scenarios, and returns its cells in their order and
// a fingerprint of all that their results depend on but the program.
func Read(name string) (p *Plan, cells []Cell, print string, err error) {
	p = &Plan{Seeds: Seeds{From: 1, Count: 5}, Policies: []string{"module"}}
	f, err := yamlfile.Read(name, p)
	if err != nil {
		return nil, nil, "", err
	}
	if p.Scenario == "" && len(p.Variants) == 0 {
		return nil, nil, "", f.Errorf("scenario", "a scenario file is wanted")
	}
	for i, policy := range p.Policies {
		if _, err := emulator.FactoryFor(policy); err != nil {
			return nil, nil, "", f.Errorf(fmt.Sprintf("policies.%d", i), "%v", err)
		}
	}
	if p.Seeds.Count < 1 {
		return nil, nil, "", f.Errorf("seeds.count", "must be 1 or more")
	}
	variants := p.Variants
	if len(variants) == 0 {
		variants = []Variant{{Name: "base"}}
	}
	grid, err := p.grid(f)
	if err != nil {
		return nil, nil, "", err
	}
	if n := len(variants) * len(grid) * len(p.Policies) * p.Seeds.Count; n > maxCells || n <= 0 {
		return nil, nil, "", f.Errorf("grid", "%d cells; up to %d are played", n, maxCells)
	}
	hash := sha256.New()
	seen := map[string]bool{}
	for i, v := range variants {
		at := fmt.Sprintf("variants.%d", i)
		if v.Name == "" || seen[v.Name] || strings.ContainsAny(v.Name, "|") {
			return nil, nil, "", f.Errorf(at+".name", "must be there, unlike the others and without |")
		}
		seen[v.Name] = true
		file := filepath.Join(filepath.Dir(name), p.Scenario)
		if v.Scenario != "" {
			file = filepath.Join(filepath.Dir(name), v.Scenario)
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, "", f.Errorf(at+".scenario", "%v", err)
		}
		for _, k := range slices.Sorted(maps.Keys(v.Set)) {
			if text, err = set(file, text, k, v.Set[k]); err != nil {
				return nil, nil, "", f.Errorf(at+".set", "%v", err)
			}
		}
		for _, point := range grid {
			here := text
			for _, kv := range point {
				k, value, _ := strings.Cut(kv, "=")
				if here, err = yamlfile.Set(file, here, k, value); err != nil {
					return nil, nil, "", f.Errorf("grid", "%v", err)
				}
			}
			sc, err := emulator.Parse(file, here)
			if err != nil {
				return nil, nil, "", f.Errorf(at, "%v", err)
			}
			hash.Write(here)
			for _, policy := range p.Policies {
				for s := range p.Seeds.Count {
					cells = append(cells, Cell{v.Name, point, policy, p.Seeds.From + uint64(s), sc})
				}
			}
		}
	}
	for _, c := range cells {
		hash.Write([]byte(c.Key()))
	}
	return p, cells, hex.EncodeToString(hash.Sum(nil)[:12]), nil
}

// set puts a value that came from YAML into a scenario's text. JSON is YAML too.
func set(file string, text []byte, key string, value any) ([]byte, error) {
	v, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return yamlfile.Set(file, text, key, string(v))
}

// grid returns every point of the grid, each as key=value pairs.
func (p *Plan) grid(f *yamlfile.File) ([][]string, error) {
	points := [][]string{{}}
	for _, k := range slices.Sorted(maps.Keys(p.Grid)) {
		if len(p.Grid[k]) == 0 {
			return nil, f.Errorf("grid."+k, "has no values")
		}
		var next [][]string
		for _, point := range points {
			for _, v := range p.Grid[k] {
				text, err := json.Marshal(v)
				if err != nil {
					return nil, f.Errorf("grid."+k, "%v", err)
				}
				next = append(next, append(slices.Clone(point), k+"="+string(text)))
			}
		}
		if points = next; len(points) > maxCells {
			return nil, f.Errorf("grid", "more than %d points", maxCells)
		}
	}
	return points, nil
}
