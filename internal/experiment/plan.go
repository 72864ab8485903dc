// Package experiment runs grids of emulated scenarios on all cores, stores the
// result of each finished cell durably, and summarizes the cells. The result of a
// cell depends on the plan and the program only. The time it took also depends on
// the machine.
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

	"oakseam/internal/emulator"
	"oakseam/internal/yamlfile"
)

// Plan is the content of an experiment file.
type Plan struct {
	Name     string           `yaml:"name"`
	Scenario string           `yaml:"scenario"` // path of a scenario file, relative to the plan's folder
	Policies []string         `yaml:"policies"`
	Seeds    Seeds            `yaml:"seeds"`
	Variants []Variant        `yaml:"variants"` // each changes some keys of the scenario
	Grid     map[string][]any `yaml:"grid"`     // values to try, by key of the scenario
}

// Seeds is the range of seeds From, From+1 and so on, Count in total.
type Seeds struct {
	From  uint64 `yaml:"from"`
	Count int    `yaml:"count"`
}

// Variant is a named change of the scenario.
type Variant struct {
	Name     string         `yaml:"name"`
	Scenario string         `yaml:"scenario"` // replaces the plan's scenario if not empty
	Set      map[string]any `yaml:"set"`
}

// Cell is one emulation run: a scenario with its changes, a policy and a seed.
type Cell struct {
	Variant  string   `json:"variant"`
	Grid     []string `json:"grid"` // key=value, in the order of the keys
	Policy   string   `json:"policy"`
	Seed     uint64   `json:"seed"`
	scenario *emulator.Scenario
}

// Key returns the cell's unique name within its plan.
func (c *Cell) Key() string {
	return fmt.Sprintf("%s|%s|%s|%020d", c.Variant, strings.Join(c.Grid, ","), c.Policy, c.Seed)
}

// Group returns the common name of the cells that differ only in their seeds.
func (c *Cell) Group() string { return strings.TrimSuffix(c.Key(), fmt.Sprintf("|%020d", c.Seed)) }

// maxCells limits the cells of a plan and the points of its grid.
const maxCells = 1_000_000

// Read reads a plan and its scenarios. It returns the cells in their order, and a fingerprint of
// everything that their results depend on except the program.
func Read(name string) (p *Plan, cells []Cell, fingerprint string, err error) {
	p = &Plan{Seeds: Seeds{From: 1, Count: 5}, Policies: []string{"module"}}
	f, err := yamlfile.Read(name, p)
	if err != nil {
		return nil, nil, "", err
	}
	if p.Scenario == "" && len(p.Variants) == 0 {
		return nil, nil, "", f.Errorf("scenario", "a scenario file is required")
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
	grid, err := p.gridPoints(f)
	if err != nil {
		return nil, nil, "", err
	}
	if n := len(variants) * len(grid) * len(p.Policies) * p.Seeds.Count; n > maxCells || n <= 0 {
		return nil, nil, "", f.Errorf("grid", "%d cells; at most %d are allowed", n, maxCells)
	}
	hash := sha256.New()
	names := map[string]bool{}
	for i, v := range variants {
		key := fmt.Sprintf("variants.%d", i)
		if v.Name == "" || names[v.Name] || strings.ContainsAny(v.Name, "|") {
			return nil, nil, "", f.Errorf(key+".name", "must be set, unique and without |")
		}
		names[v.Name] = true
		file := filepath.Join(filepath.Dir(name), p.Scenario)
		if v.Scenario != "" {
			file = filepath.Join(filepath.Dir(name), v.Scenario)
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, "", f.Errorf(key+".scenario", "%v", err)
		}
		for _, k := range slices.Sorted(maps.Keys(v.Set)) {
			if text, err = setValue(file, text, k, v.Set[k]); err != nil {
				return nil, nil, "", f.Errorf(key+".set", "%v", err)
			}
		}
		for _, point := range grid {
			pointText := text
			for _, pair := range point {
				k, value, _ := strings.Cut(pair, "=")
				if pointText, err = yamlfile.Set(file, pointText, k, value); err != nil {
					return nil, nil, "", f.Errorf("grid", "%v", err)
				}
			}
			sc, err := emulator.Parse(file, pointText)
			if err != nil {
				return nil, nil, "", f.Errorf(key, "%v", err)
			}
			hash.Write(pointText)
			for _, policy := range p.Policies {
				for offset := range p.Seeds.Count {
					cells = append(cells, Cell{v.Name, point, policy, p.Seeds.From + uint64(offset), sc})
				}
			}
		}
	}
	for _, c := range cells {
		hash.Write([]byte(c.Key()))
	}
	return p, cells, hex.EncodeToString(hash.Sum(nil)[:12]), nil
}

// setValue sets a value that was read from YAML in a scenario's text. It writes the value as JSON,
// which is valid YAML.
func setValue(file string, text []byte, key string, value any) ([]byte, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return yamlfile.Set(file, text, key, string(encoded))
}

// gridPoints returns every point of the grid, each as key=value pairs in the order of the keys.
func (p *Plan) gridPoints(f *yamlfile.File) ([][]string, error) {
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
