import {createHash} from 'node:crypto';

const RANGE = 2 ** 32;

/** A number in [0, 1) that depends on the names only: whether an answer is good is fixed for a request and a version. */
export function answerQuality(
  seed: number,
  ...names: readonly string[]
): number {
  return (
    createHash('md5')
      .update([seed, ...names].join('/'))
      .digest()
      .readUInt32BE(0) / RANGE
  );
}
