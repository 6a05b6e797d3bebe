import {Codec, number, string} from 'purify-ts/Codec';
import {Left, Right} from 'purify-ts/Either';

/** IPv4 and a port, as runners and hosts name where they listen. */
const ADDRESS_PATTERN = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
/** A name longer than this is none of the platform's, in characters. */
const MAX_NAME_LENGTH = 200;

/** A codec whose values also hold a condition; `wanted` says in an error what it is. */
function refine<T>(
  codec: Codec<T>,
  holds: (value: T) => boolean,
  wanted: string,
): Codec<T> {
  return Codec.custom<T>({
    decode: input =>
      codec
        .decode(input)
        .chain(value => (holds(value) ? Right(value) : Left(wanted))),
    encode: value => codec.encode<T>(value),
  });
}

/** What the fields of entries may hold. */
export const fieldCodecs = {
  /** A name: some text, but not endless. */
  name: refine(
    string,
    text => text.length > 0 && text.length <= MAX_NAME_LENGTH,
    `needs a text of 1 to ${MAX_NAME_LENGTH} characters`,
  ),
  /** IP:PORT. */
  address: refine(string, text => ADDRESS_PATTERN.test(text), 'needs IP:PORT'),
  /** A whole number from 1 on, exact as a JSON number. */
  positiveInteger: refine(
    number,
    value => Number.isSafeInteger(value) && value > 0,
    'needs a whole number over 0',
  ),
  /** A number that is 0 or over it. */
  nonNegative: refine(
    number,
    value => Number.isFinite(value) && value >= 0,
    'needs a number from 0 on',
  ),
  /** A number from 0 to 1. */
  fraction: refine(
    number,
    value => value >= 0 && value <= 1,
    'needs a number from 0 to 1',
  ),
  /** A number over 0. */
  positive: refine(
    number,
    value => Number.isFinite(value) && value > 0,
    'needs a number over 0',
  ),
};
