import {randomUUID} from 'node:crypto';
import {daemonTokens} from '@bayspool/daemon';
import type {Clock} from '@bayspool/kernel';
import {ROOT_CONTEXT} from '@opentelemetry/api';
import {fleetKeys} from '../fleet/fleet_keys.js';
import type {ChatOptions} from './chat_options.js';
import {failedAnswer} from './failed_answer.js';
import type {FuzzHost} from './fuzz_host.js';
import {readAnswer} from './read_answer.js';
import type {Told} from './told.js';

interface Options {
  readonly clock: Clock;
  /** Most tokens that a chat asks for. */
  readonly answerTokens: number;
}

/** A request on its way to a host's desk. */
interface Outgoing {
  readonly about: Pick<Told, 'kind' | 'key' | 'session' | 'prompt'>;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** The callers of the hosts: what they sent, and what they were told. */
export class Callers {
  /** All requests, in the order in which they were sent. */
  readonly told: Told[] = [];
  /** Tickets that hosts gave out. */
  readonly tickets: string[] = [];

  constructor(private readonly options: Options) {}

  /** Sends a chat request to a host; the answer is noted when it comes. */
  chat(host: FuzzHost, {model, session, prompt}: ChatOptions): void {
    this.send(host, {
      about: {kind: 'chat', key: undefined, session, prompt},
      path: '/v1/chat/completions',
      headers: session === undefined ? {} : {'bayspool-session': session},
      body: JSON.stringify({
        model,
        messages: [{role: 'user', content: prompt}],
        max_tokens: this.options.answerTokens,
      }),
    });
  }

  /** Sends a slip to a host, under a key if one is given. */
  slip(host: FuzzHost, key: string | undefined): void {
    this.send(host, {
      about: {kind: 'slip', key, session: undefined, prompt: ''},
      path: '/services/core-registry/slips',
      headers: key === undefined ? {} : {'idempotency-key': key},
      body: 'x',
    });
  }

  /** Asks a host for a ticket; one that gives none is passed over. */
  async takeTicket(host: FuzzHost): Promise<void> {
    if (!host.gate.isRunning) return;
    const desk = host.kernel.container.get(daemonTokens.admissionController);
    try {
      const answer = await desk.handle(toRawCall('/v1/tickets', {}, ''));
      const {ticket} = JSON.parse((answer.body as Buffer).toString()) as {
        ticket: string;
      };
      this.tickets.push(ticket);
    } catch {
      // A host that is cut off or leaves gives none; the run goes on without it.
      return;
    }
  }

  private send(host: FuzzHost, {about, path, headers, body}: Outgoing): void {
    if (!host.gate.isRunning) return;
    const raw = toRawCall(path, headers, body);
    const told: Told = {
      ...about,
      id: raw.id,
      host: host.options.id,
      process: `${host.options.id}/${host.options.seed}`,
    };
    this.told.push(told);
    const answered = host.kernel.container
      .get(daemonTokens.admissionController)
      .handle(raw)
      .then(readAnswer, failedAnswer);
    const {clock} = this.options;
    void host.gate
      .pass(answered)
      .then(answer => (told.answer = {...answer, at: clock.now()}));
  }
}

function toRawCall(
  path: string,
  headers: Readonly<Record<string, string>>,
  body: string,
) {
  return {
    id: randomUUID(),
    method: 'POST',
    path,
    headers: {...headers, authorization: `Bearer survey${fleetKeys.suffix}`},
    body: Buffer.from(body),
    signal: new AbortController().signal,
    trace: ROOT_CONTEXT,
  };
}
