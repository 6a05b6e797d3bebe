import {Outcome} from '@bayspool/decisions';
import type {ToldAnswer} from './told_answer.js';

interface DeskAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer | AsyncIterable<string | Buffer>;
}

/** Statuses under this one tell of a whole answer. */
const REDIRECT = 300;

/** What an answer of a host's desk tells its caller. */
export function readAnswer({status, headers, body}: DeskAnswer): ToldAnswer {
  const text = Buffer.isBuffer(body) ? body.toString() : '';
  const header = (name: string) =>
    headers[name] === undefined ? undefined : String(headers[name]);
  const outcome = (header('bayspool-outcome') ?? Outcome.RAN) as Outcome;
  return {
    status,
    outcome,
    version: header('bayspool-version'),
    session: header('bayspool-session'),
    text,
    whole: status < REDIRECT,
  };
}
