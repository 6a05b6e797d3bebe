import {createHash, randomUUID} from 'node:crypto';
import {
  selectByRendezvousHash,
  type Membership,
  type Ticket,
  type TicketSealer,
} from '@bayspool/decisions';
import {
  Problem,
  type Clock,
  type Logger,
  type Service,
  type Tracing,
} from '@bayspool/kernel';
import {z} from 'zod';
import type {ConfigurationStore} from '../../configuration/configuration_store.js';
import type {HostIdentity} from '../../host/host_identity.js';
import type {PeerClient} from '../../peers/peer_client.js';
import {PeerPool} from '../../peers/peer_pool.js';
import type {PeerMethodRegistry} from '../../peers/peer_method_registry.js';
import type {CallDispatcher} from '../call_dispatcher.js';
import type {CallerCall} from '../caller_call.js';
import {errorAnswer} from '../error_answer.js';
import {storeAnswer} from '../store_answer.js';
import {StoredAnswer} from '../stored_answer.js';
import type {AnswerHome} from './answer_home.js';
import {answerMethods} from './answer_methods.js';
import {CallMessage} from './call_message.js';
import type {KeyClaims} from './key_claims.js';
import {keyProblems} from './key_problems.js';
import type {Successors} from './successors.js';

interface Options {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly tracing: Tracing;
  readonly identity: HostIdentity;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly client: PeerClient;
  readonly methods: PeerMethodRegistry;
  readonly seal: TicketSealer;
  readonly home: AnswerHome;
  readonly claims: KeyClaims;
  readonly successors: Successors;
  readonly dispatcher: CallDispatcher;
  /** How long a ticket may be used, in ms. */
  readonly ticketLifeMs: number;
  /** How long a forwarded call may take where the caller names no deadline, in ms. */
  readonly forwardMs: number;
}

/** A process that may answer a key. */
interface Home {
  readonly place: string;
  readonly boot: string;
  readonly address: string;
}

const FORWARD_MARGIN_MS = 2_000;

/**
 * Calls that carry a key. Each key has one home process, and only that process
 * dispatches the call: a ticket names it; a caller's own key for a call that may
 * not be repeated is claimed in the log; any other key goes to a host of the place
 * by hash. When the home is gone, the outcome is unknown and there is no second run.
 */
export class KeyedAnswers implements Service {
  readonly name = 'keyed answers';

  constructor(private readonly options: Options) {
    this.addMethods();
  }

  /** Gives a ticket whose home is this process. */
  mint(workspace: string): {ticket: string; expiresInMs: number} {
    const {clock, identity, seal, ticketLifeMs} = this.options;
    const ticket: Ticket = {
      id: randomUUID(),
      workspace,
      host: identity.id,
      place: identity.place,
      boot: identity.boot,
      address: identity.peerAddress,
      expiresAt: Math.round(clock.wall() + ticketLifeMs),
    };
    return {ticket: seal.seal(ticket), expiresInMs: ticketLifeMs};
  }

  /** Answers a call that carries `key`. */
  async answer(key: string, call: CallerCall): Promise<StoredAnswer> {
    if (this.options.seal.isTicket(key)) return this.answerTicket(key, call);
    const hashed = createHash('sha256')
      .update(`${call.workspace}\n${key}`)
      .digest('hex');
    const keyed = {...call, billId: hashed};
    if (this.options.dispatcher.isOnce(call))
      return this.answerClaimed(hashed, keyed);
    return this.answerRepeatable(hashed, keyed);
  }

  async start(): Promise<void> {}

  /** Hands the keys of this process to a companion, so that answers given here stay known. */
  async stop(): Promise<void> {
    await this.options.successors.handOver(
      await this.options.home.memory.listUsedKeys(),
    );
  }

  private async answerTicket(
    key: string,
    call: CallerCall,
  ): Promise<StoredAnswer> {
    const {seal, clock} = this.options;
    const ticket = seal.open(key, call.workspace).caseOf({
      Left: problem => {
        throw problem;
      },
      Right: opened => opened,
    });
    if (ticket.expiresAt < clock.wall()) throw keyProblems.expired();
    return this.answerAt(ticket, ticket.id, {...call, billId: ticket.id});
  }

  /** The claim is made by a host of the key's place, which never changes. */
  private async answerClaimed(
    key: string,
    call: CallerCall,
  ): Promise<StoredAnswer> {
    const {identity, store, membership} = this.options;
    const [place] = selectByRendezvousHash(
      Object.keys(store.current.places),
      key,
      1,
    );
    if (place === identity.place) return this.answerOwn(key, call);
    if (!(place in membership.computePlaceAges()))
      return this.answerVacant(place, key, call);
    const hosts =
      membership.listDigests().find(digest => digest.place === place)?.hosts ??
      [];
    const [target] = selectByRendezvousHash(
      hosts.filter(host => !host.leaving).map(host => host.address),
      key,
      1,
    );
    if (!target) throw keyProblems.placeUnreachable(place);
    return this.forward(target, answerMethods.claim, key, call);
  }

  private async answerOwn(
    key: string,
    call: CallerCall,
  ): Promise<StoredAnswer> {
    return this.answerAt(await this.options.claims.claim(key), key, call);
  }

  private async answerVacant(
    place: string,
    key: string,
    call: CallerCall,
  ): Promise<StoredAnswer> {
    const {claims} = this.options;
    return this.answerAt(await claims.claimVacant(place, key), key, call);
  }

  private async answerRepeatable(
    key: string,
    call: CallerCall,
  ): Promise<StoredAnswer> {
    const {identity, membership, home} = this.options;
    const hosts = [
      identity.id,
      ...membership.listAvailablePeers().map(entry => entry.id),
    ];
    const [owner] = selectByRendezvousHash(hosts, key, 1);
    const entry = owner === identity.id ? undefined : membership.get(owner);
    if (!entry) return home.answer(key, call);
    try {
      return await this.forward(entry.address, answerMethods.run, key, call);
    } catch (error) {
      if (error instanceof Problem) throw error;
      this.options.logger.info('home of a key not reached, answered here', {
        requestId: call.id,
        host: owner,
      });
      return home.answer(key, call);
    }
  }

  private async answerAt(
    target: Home,
    key: string,
    call: CallerCall,
  ): Promise<StoredAnswer> {
    const {identity, home, successors} = this.options;
    if (target.boot === identity.boot || successors.hasAdopted(target.boot))
      return home.answer(key, call);
    const successor = successors.known(target.boot);
    if (successor) return this.forward(successor, answerMethods.run, key, call);
    try {
      return await this.forward(
        target.address,
        answerMethods.run,
        key,
        call,
        target.boot,
      );
    } catch (error) {
      const found = await successors.find(target.boot, target.place);
      if (!found) throw error;
      return found === identity.peerAddress
        ? home.answer(key, call)
        : this.forward(found, answerMethods.run, key, call);
    }
  }

  private async forward(
    address: string,
    method: string,
    key: string,
    call: CallerCall,
    boot?: string,
  ): Promise<StoredAnswer> {
    const {client, tracing, forwardMs} = this.options;
    const message: CallMessage = {
      id: call.id,
      billId: call.billId,
      workspace: call.workspace,
      method: call.method,
      path: call.path,
      headers: {...call.headers},
      body: call.body.toString('base64'),
      deadlineMs: call.deadlineMs,
    };
    const timeoutMs = (call.deadlineMs ?? forwardMs) + FORWARD_MARGIN_MS;
    const pool = method === answerMethods.claim ? PeerPool.CLAIM : PeerPool.RUN;
    return tracing.run('peer call', call.trace, async inner => {
      try {
        const reply = await client.call(
          address,
          method,
          {key, boot, call: message},
          {timeoutMs, headers: tracing.inject(inner), pool},
        );
        return StoredAnswer.parse(reply);
      } catch (error) {
        throw keyProblems.homeGone(error);
      }
    });
  }

  private addMethods(): void {
    const {methods, home, identity, successors} = this.options;
    const params = z.strictObject({
      key: z.string(),
      boot: z.string().optional(),
      call: CallMessage,
    });
    methods.register(answerMethods.run, params, ({key, boot, call}) => {
      if (
        boot !== undefined &&
        boot !== identity.boot &&
        !successors.hasAdopted(boot)
      )
        throw new Error('the process that was asked for is gone');
      return home
        .answer(key, this.toCall(call))
        .catch(error => storeAnswer(errorAnswer(error, call.id)));
    });
    methods.register(
      answerMethods.unused,
      z.strictObject({key: z.string()}),
      ({key: asked}) => !this.options.claims.knows(asked),
    );
    methods.register(answerMethods.claim, params, ({key, call}) =>
      this.answerOwn(key, this.toCall(call)).catch(error =>
        storeAnswer(errorAnswer(error, call.id)),
      ),
    );
  }

  private toCall(message: CallMessage): CallerCall {
    return {
      ...message,
      body: Buffer.from(message.body, 'base64'),
      deadlineMs: message.deadlineMs,
      signal: new AbortController().signal,
      trace: this.options.tracing.extract(message.headers),
    };
  }
}
