import type {Codec} from 'purify-ts/Codec';
import {InvalidEntry} from './invalid_entry.js';
import {InvalidEntryKind} from './invalid_entry_kind.js';
import type {KeyedRecord} from './keyed_record.js';

/** Longest decoding error that a message includes, in characters. */
const MAX_REASON_LENGTH = 160;

/** Decodes the JSON value of a record; throws an InvalidEntry if the codec does not accept it. */
export function decodeEntry<T>(codec: Codec<T>, {value}: KeyedRecord): T {
  return codec.decode(parseJson(value)).caseOf({
    Left: reason => {
      const message = `check who wrote this entry: ${reason.slice(0, MAX_REASON_LENGTH)}`;
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
    const message = `check who wrote this entry, its value is not valid JSON: ${reason}`;
    throw new InvalidEntry({kind: InvalidEntryKind.INVALID_JSON, message});
  }
}
