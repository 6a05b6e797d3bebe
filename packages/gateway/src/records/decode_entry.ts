import type {Codec} from 'purify-ts/Codec';
import {InvalidEntry} from './invalid_entry.js';
import {InvalidEntryKind} from './invalid_entry_kind.js';
import type {KeyedRecord} from './keyed_record.js';

/** How much of what is wrong is told, in characters. */
const MAX_REASON_LENGTH = 160;

/** The value of a record in the form that a codec describes; throws an EntryProblem on any other. */
export function decodeEntry<T>(codec: Codec<T>, {value}: KeyedRecord): T {
  return codec.decode(parseJson(value)).caseOf({
    Left: wrong => {
      const message = `check who wrote this entry: ${wrong.slice(0, MAX_REASON_LENGTH)}`;
      throw new InvalidEntry({kind: InvalidEntryKind.SCHEMA_MISMATCH, message});
    },
    Right: entry => entry,
  });
}

function parseJson(value = ''): unknown {
  try {
    return JSON.parse(value);
  } catch (error) {
    const reason = String(error).slice(0, MAX_REASON_LENGTH);
    const message = `check who wrote this entry, it is no JSON: ${reason}`;
    throw new InvalidEntry({kind: InvalidEntryKind.INVALID_JSON, message});
  }
}
