import {readFileSync} from 'node:fs';
import {Problem} from '../problems/problem.js';
import {ProblemKind} from '../problems/problem_kind.js';
import {Settings} from './settings.js';
import {SourceText} from './source_text.js';

/** Reads an INI file; the caller checks it against the sections of its plug-ins. */
export function loadSettings(file: string): Settings {
  try {
    return new Settings(new SourceText(file, readFileSync(file, 'utf8')));
  } catch (error) {
    throw new Problem({
      kind: ProblemKind.SETTINGS,
      what: `cannot read the settings file ${file}`,
      remedy: 'name a readable file with --settings FILE',
      cause: error,
    });
  }
}
