import {Problem} from '../problems/problem.js';
import {ProblemKind} from '../problems/problem_kind.js';
import type {Section} from './section.js';
import type {SourceText} from './source_text.js';

/** Checked settings. Every value was validated against the section that declares it. */
export class Settings {
  private readonly values = new Map<string, Map<string, unknown>>();

  constructor(private readonly source: SourceText) {}

  /** Validates all sections; throws a settings problem that lists every fault found. */
  check(sections: readonly Section[]): void {
    const faults = this.unknownSections(sections);
    for (const section of sections) {
      this.values.set(section.name, this.readSection(section, faults));
    }
    if (faults.length > 0) throw settingsProblem(faults);
  }

  /** The single section of this kind, with defaults where the file is silent. */
  one<T>(section: Section<T>): T {
    return this.values.get(section.name)?.get('') as T;
  }

  /** All named sections of this kind, by their name. */
  all<T>(section: Section<T>): Map<string, T> {
    return (this.values.get(section.name) ?? new Map()) as Map<string, T>;
  }

  private readSection(
    section: Section,
    faults: string[],
  ): Map<string, unknown> {
    const result = new Map<string, unknown>();
    const headers = this.source
      .headers()
      .filter(header => header.kind === section.name);
    const wanted =
      section.named || headers.length > 0
        ? headers
        : [{kind: section.name, name: ''}];
    for (const header of wanted) {
      if (Boolean(section.named) !== (header.name !== '')) {
        faults.push(
          this.source.describe(
            header,
            undefined,
            section.named
              ? 'needs a name; write it like' + ` [${section.name} NAME]`
              : `takes no name; write it as [${section.name}]`,
          ),
        );
        continue;
      }
      const parsed = section.shape.safeParse(this.source.valuesOf(header));
      if (parsed.success) {
        result.set(header.name, parsed.data);
        continue;
      }
      for (const issue of parsed.error.issues) {
        const key =
          issue.code === 'unrecognized_keys'
            ? issue.keys[0]
            : String(issue.path[0] ?? '');
        const text =
          issue.code === 'unrecognized_keys'
            ? 'is not a known key; remove it or correct its spelling'
            : issue.message;
        faults.push(this.source.describe(header, key, text));
      }
    }
    return result;
  }

  private unknownSections(sections: readonly Section[]): string[] {
    const known = new Set(sections.map(section => section.name));
    return this.source
      .headers()
      .filter(header => !known.has(header.kind))
      .map(header =>
        this.source.describe(
          header,
          undefined,
          `is not a known section; known are ${[...known].sort().join(', ')}`,
        ),
      );
  }
}

function settingsProblem(faults: readonly string[]): Problem {
  return new Problem({
    kind: ProblemKind.SETTINGS,
    what: `the settings have ${faults.length === 1 ? 'a fault' : `${faults.length} faults`}:\n  ${faults.join('\n  ')}\n`,
    remedy:
      'correct the file and check it with bayspoold --check --settings FILE',
  });
}
