import {Codec, number, string} from 'purify-ts/Codec';
import {Left, Right} from 'purify-ts/Either';

/** IPv4 address and port at which a runner or host listens. */
const ADDRESS_PATTERN = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
/** Longest name that the platform assigns, in characters. */
const MAX_NAME_LENGTH = 200;

/** Adds a predicate to a codec; `expected` is the error message when the predicate fails. */
function refine<T>(
  codec: Codec<T>,
  predicate: (value: T) => boolean,
  expected: string,
): Codec<T> {
  return Codec.custom<T>({
    decode: input =>
      codec
        .decode(input)
        .chain(value => (predicate(value) ? Right(value) : Left(expected))),
    encode: value => codec.encode<T>(value),
  });
}

/** Codecs for the fields of store entries. */
export const fieldCodecs = {
  /** A non-empty name of bounded length. */
  name: refine(
    string,
    text => text.length > 0 && text.length <= MAX_NAME_LENGTH,
    `must be a string of 1 to ${MAX_NAME_LENGTH} characters`,
  ),
  /** IP:PORT. */
  address: refine(
    string,
    text => ADDRESS_PATTERN.test(text),
    'must be IP:PORT',
  ),
  /** An integer of at least 1 that a JSON number represents exactly. */
  positiveInteger: refine(
    number,
    value => Number.isSafeInteger(value) && value > 0,
    'must be an integer greater than 0',
  ),
  /** A finite number of at least 0. */
  nonNegative: refine(
    number,
    value => Number.isFinite(value) && value >= 0,
    'must be a number of at least 0',
  ),
  /** A number from 0 to 1. */
  fraction: refine(
    number,
    value => value >= 0 && value <= 1,
    'must be a number from 0 to 1',
  ),
  /** A finite number greater than 0. */
  positive: refine(
    number,
    value => Number.isFinite(value) && value > 0,
    'must be a number greater than 0',
  ),
};
