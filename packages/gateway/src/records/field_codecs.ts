import {isIPv4} from 'node:net';
import {Codec, number, string} from 'purify-ts/Codec';
import {Left, Right} from 'purify-ts/Either';

/** IPv4 address and port at which a runner or host listens. */
const ADDRESS_PATTERN = /^([\d.]+):(\d{1,5})$/;
const MAX_PORT = 65_535;
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

function isAddress(text: string): boolean {
  const [, ip, port] = ADDRESS_PATTERN.exec(text) ?? [];
  if (ip === undefined || !isIPv4(ip)) return false;
  return Number(port) > 0 && Number(port) <= MAX_PORT;
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
    isAddress,
    `must be IP:PORT with a port from 1 to ${MAX_PORT}`,
  ),
  /** An integer from 1 to a maximum. */
  integerUpTo: (max: number) =>
    refine(
      number,
      value => Number.isInteger(value) && value > 0 && value <= max,
      `must be an integer from 1 to ${max}`,
    ),
  /** A number from 0 to a maximum. */
  numberUpTo: (max: number) =>
    refine(
      number,
      value => value >= 0 && value <= max,
      `must be a number from 0 to ${max}`,
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
