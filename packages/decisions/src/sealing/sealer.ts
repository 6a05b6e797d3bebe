import {createHmac, timingSafeEqual} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts';
import type {SealKey} from './seal_key.js';

/** Why a sealed text was rejected. */
type OpenError = 'malformed' | 'unknown key' | 'forged';

interface Options {
  /** The first key is used for sealing, all of them for opening, so that keys can be rotated. */
  readonly keys: readonly SealKey[];
  /** Separates uses of the same keys: a ticket is never accepted as a session. */
  readonly purpose: string;
}

const PART_COUNT = 3;

/** Authenticates small documents and messages with HMAC-SHA-256. It does not encrypt them. */
export class Sealer {
  constructor(private readonly options: Options) {}

  /** Returns `payload.keyId.mac`, each base64url. */
  seal(payload: unknown): string {
    const body = Buffer.from(JSON.stringify(payload)).toString('base64url');
    return `${body}.${this.sign(body)}`;
  }

  open(text: string): Either<OpenError, unknown> {
    const parts = text.split('.');
    if (parts.length !== PART_COUNT) return Left('malformed');
    const [body, keyId, mac] = parts;
    return this.verifyMac(body, `${keyId}.${mac}`).chain(() =>
      parsePayload(body),
    );
  }

  /** Returns `keyId.mac` for a text that is sent along with it. */
  sign(text: string): string {
    const key = this.options.keys[0];
    return `${Buffer.from(key.id).toString('base64url')}.${this.computeMac(text, key)}`;
  }

  verify(text: string, signature: string): boolean {
    return this.verifyMac(text, signature).isRight();
  }

  private verifyMac(text: string, signature: string): Either<OpenError, true> {
    const [keyId, mac] = signature.split('.');
    if (!keyId || !mac) return Left('malformed');
    const id = Buffer.from(keyId, 'base64url').toString();
    const key = this.options.keys.find(candidate => candidate.id === id);
    if (!key) return Left('unknown key');
    return equalsInConstantTime(mac, this.computeMac(text, key))
      ? Right(true)
      : Left('forged');
  }

  private computeMac(text: string, key: SealKey): string {
    return createHmac('sha256', `${this.options.purpose}\n${key.secret}`)
      .update(text)
      .digest('base64url');
  }
}

function equalsInConstantTime(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
}

function parsePayload(body: string): Either<OpenError, unknown> {
  try {
    return Right(JSON.parse(Buffer.from(body, 'base64url').toString()));
  } catch {
    return Left('malformed');
  }
}
