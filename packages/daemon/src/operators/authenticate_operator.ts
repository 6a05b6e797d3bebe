import {timingSafeEqual} from 'node:crypto';
import {hashAccessKey} from '@bayspool/decisions';
import type {OperatorKey} from './operator_key.js';

const SCHEME = 'Bearer ';

/** Finds the operator whose key was sent. Compares all keys, each in constant time. */
export function authenticateOperator(
  keys: readonly OperatorKey[],
  authorization: string | undefined,
): string | undefined {
  if (!authorization?.startsWith(SCHEME)) return undefined;
  const hash = Buffer.from(
    hashAccessKey(authorization.slice(SCHEME.length)),
    'hex',
  );
  let operator: string | undefined;
  for (const key of keys) {
    if (timingSafeEqual(hash, Buffer.from(key.hash, 'hex')))
      operator = key.name;
  }
  return operator;
}
