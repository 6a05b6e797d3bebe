import type {Codec} from 'purify-ts/Codec';
import {EntryProblem} from './entry_problem.js';
import {EntryProblemKind} from './entry_problem_kind.js';
import type {KeyedRecord} from './keyed_record.js';

/** How much of what is wrong is told, in characters. */
const MAX_QUOTED = 160;

/** The value of a record in the form that a codec describes; throws an EntryProblem on any other. */
export function readEntry<T>(codec: Codec<T>, {value}: KeyedRecord): T {
  return codec.decode(parse(value)).caseOf({
    Left: wrong => {
      const message = `check who wrote this entry: ${wrong.slice(0, MAX_QUOTED)}`;
      throw new EntryProblem({kind: EntryProblemKind.MISSHAPEN, message});
    },
    Right: entry => entry,
  });
}

function parse(value = ''): unknown {
  try {
    return JSON.parse(value);
  } catch (error) {
    const reason = String(error).slice(0, MAX_QUOTED);
    const message = `check who wrote this entry, it is no JSON: ${reason}`;
    throw new EntryProblem({kind: EntryProblemKind.UNREADABLE, message});
  }
}
