import {Problem, ProblemKind} from '@bayspool/kernel';
import type {SealKey} from './seal_key.js';

const SEPARATOR = ':';
const MIN_SECRET_LENGTH = 8;

/** Parses `k2:secret,k1:older-secret`. The first key is used for sealing, all of them for opening. */
export function parseSealKeys(text: string): SealKey[] {
  return text.split(',').map(item => {
    const [id, ...rest] = item.trim().split(SEPARATOR);
    const secret = rest.join(SEPARATOR);
    if (id === '' || secret.length < MIN_SECRET_LENGTH)
      throw createKeyProblem();
    return {id, secret};
  });
}

function createKeyProblem(): Problem {
  return new Problem({
    kind: ProblemKind.SETTINGS,
    what: 'a seal key is not of the form ID:SECRET with a secret of at least 8 characters',
    remedy:
      'write keys as new-id:new-secret,old-id:old-secret, the one in use first',
  });
}
