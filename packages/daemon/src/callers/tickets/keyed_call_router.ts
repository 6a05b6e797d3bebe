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
import type {AuthenticatedCall} from '../authenticated_call.js';
import {createErrorResponse} from '../create_error_response.js';
import {bufferResponse} from '../buffer_response.js';
import {StoredResponse} from '../stored_response.js';
import type {KeyedCallRunner} from './keyed_call_runner.js';
import {keyedCallMethods} from './keyed_call_methods.js';
import {ForwardedCall} from './forwarded_call.js';
import type {KeyClaimer} from './key_claimer.js';
import {keyFailures} from './key_failures.js';
import type {SuccessorRegistry} from './successor_registry.js';

interface Options {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly tracing: Tracing;
  readonly identity: HostIdentity;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly client: PeerClient;
  readonly methods: PeerMethodRegistry;
  readonly ticketSealer: TicketSealer;
  readonly callRunner: KeyedCallRunner;
  readonly keyClaimer: KeyClaimer;
  readonly successors: SuccessorRegistry;
  readonly dispatcher: CallDispatcher;
  /** How long a ticket is valid, in ms. */
  readonly ticketTtlMs: number;
  /** Timeout of a forwarded call where the caller sets no deadline, in ms. */
  readonly defaultForwardTimeoutMs: number;
}

/** A process that runs the calls of a key. */
interface HomeProcess {
  readonly place: string;
  readonly boot: string;
  readonly address: string;
}

const FORWARD_TIMEOUT_MARGIN_MS = 2_000;

/**
 * Routes calls that carry an idempotency key. Each key has one home process, and only
 * that process dispatches the call: a ticket names it; a caller's own key for a call
 * that must run at most once is claimed in the log; any other key is assigned to a host
 * of the place by hash. When the home is gone, the outcome is unknown and the call is
 * not run again.
 */
export class KeyedCallRouter implements Service {
  readonly name = 'keyed answers';

  constructor(private readonly options: Options) {
    this.registerMethods();
  }

  /** Issues a ticket whose home is this process. */
  issueTicket(workspace: string): {ticket: string; expiresInMs: number} {
    const {clock, identity, ticketSealer, ticketTtlMs} = this.options;
    const ticket: Ticket = {
      id: randomUUID(),
      workspace,
      host: identity.id,
      place: identity.place,
      boot: identity.boot,
      address: identity.peerAddress,
      expiresAt: Math.round(clock.wall() + ticketTtlMs),
    };
    return {ticket: ticketSealer.seal(ticket), expiresInMs: ticketTtlMs};
  }

  /** Handles a call that carries `key`. */
  async handle(key: string, call: AuthenticatedCall): Promise<StoredResponse> {
    if (this.options.ticketSealer.isTicket(key))
      return this.handleTicketCall(key, call);
    const hashed = createHash('sha256')
      .update(`${call.workspace}\n${key}`)
      .digest('hex');
    const keyed = {...call, billId: hashed};
    if (this.options.dispatcher.isAtMostOnce(call))
      return this.handleClaimedCall(hashed, keyed);
    return this.handleRetryableCall(hashed, keyed);
  }

  async start(): Promise<void> {}

  /** Hands the keys of this process off to a peer, so that its responses stay available. */
  async stop(): Promise<void> {
    await this.options.successors.handOff(
      await this.options.callRunner.cache.listUsedKeys(),
    );
  }

  private async handleTicketCall(
    key: string,
    call: AuthenticatedCall,
  ): Promise<StoredResponse> {
    const {ticketSealer, clock} = this.options;
    const ticket = ticketSealer.open(key, call.workspace).caseOf({
      Left: problem => {
        throw problem;
      },
      Right: opened => opened,
    });
    if (ticket.expiresAt < clock.wall())
      throw keyFailures.createExpiredTicketProblem();
    return this.runAtHome(ticket, ticket.id, {...call, billId: ticket.id});
  }

  /** Has the key claimed by a host of the key's place, which never changes. */
  private async handleClaimedCall(
    key: string,
    call: AuthenticatedCall,
  ): Promise<StoredResponse> {
    const {identity, store, membership} = this.options;
    const [place] = selectByRendezvousHash(
      Object.keys(store.current.places),
      key,
      1,
    );
    if (place === identity.place) return this.claimAndRun(key, call);
    if (!(place in membership.computePlaceAges()))
      return this.claimVacantAndRun(place, key, call);
    const hosts =
      membership.listDigests().find(digest => digest.place === place)?.hosts ??
      [];
    const [target] = selectByRendezvousHash(
      hosts.filter(host => !host.leaving).map(host => host.address),
      key,
      1,
    );
    if (!target) throw keyFailures.createPlaceUnreachableFailure(place);
    return this.forward(target, keyedCallMethods.claim, key, call);
  }

  private async claimAndRun(
    key: string,
    call: AuthenticatedCall,
  ): Promise<StoredResponse> {
    return this.runAtHome(await this.options.keyClaimer.claim(key), key, call);
  }

  private async claimVacantAndRun(
    place: string,
    key: string,
    call: AuthenticatedCall,
  ): Promise<StoredResponse> {
    const {keyClaimer} = this.options;
    return this.runAtHome(await keyClaimer.claimVacant(place, key), key, call);
  }

  private async handleRetryableCall(
    key: string,
    call: AuthenticatedCall,
  ): Promise<StoredResponse> {
    const {identity, membership, callRunner} = this.options;
    const hosts = [
      identity.id,
      ...membership.listAvailablePeers().map(entry => entry.id),
    ];
    const [owner] = selectByRendezvousHash(hosts, key, 1);
    const entry = owner === identity.id ? undefined : membership.get(owner);
    if (!entry) return callRunner.runOnce(key, call);
    try {
      return await this.forward(entry.address, keyedCallMethods.run, key, call);
    } catch (error) {
      if (error instanceof Problem) throw error;
      this.options.logger.info('home of a key not reached, answered here', {
        requestId: call.id,
        host: owner,
      });
      return callRunner.runOnce(key, call);
    }
  }

  private async runAtHome(
    target: HomeProcess,
    key: string,
    call: AuthenticatedCall,
  ): Promise<StoredResponse> {
    const {identity, callRunner, successors} = this.options;
    if (target.boot === identity.boot || successors.hasAdopted(target.boot))
      return callRunner.runOnce(key, call);
    const successor = successors.getKnownAddress(target.boot);
    if (successor)
      return this.forward(successor, keyedCallMethods.run, key, call);
    try {
      return await this.forward(
        target.address,
        keyedCallMethods.run,
        key,
        call,
        target.boot,
      );
    } catch (error) {
      const found = await successors.findAddress(target.boot, target.place);
      if (!found) throw error;
      return found === identity.peerAddress
        ? callRunner.runOnce(key, call)
        : this.forward(found, keyedCallMethods.run, key, call);
    }
  }

  private async forward(
    address: string,
    method: string,
    key: string,
    call: AuthenticatedCall,
    boot?: string,
  ): Promise<StoredResponse> {
    const {client, tracing, defaultForwardTimeoutMs} = this.options;
    const message: ForwardedCall = {
      id: call.id,
      billId: call.billId,
      workspace: call.workspace,
      method: call.method,
      path: call.path,
      headers: {...call.headers},
      body: call.body.toString('base64'),
      deadlineMs: call.deadlineMs,
    };
    const timeoutMs =
      (call.deadlineMs ?? defaultForwardTimeoutMs) + FORWARD_TIMEOUT_MARGIN_MS;
    const pool =
      method === keyedCallMethods.claim ? PeerPool.CLAIM : PeerPool.RUN;
    return tracing.run('peer call', call.trace, async inner => {
      try {
        const reply = await client.call(
          address,
          method,
          {key, boot, call: message},
          {timeoutMs, headers: tracing.inject(inner), pool},
        );
        return StoredResponse.parse(reply);
      } catch (error) {
        throw keyFailures.createHomeUnreachableFailure(error);
      }
    });
  }

  private registerMethods(): void {
    const {methods, callRunner, identity, successors} = this.options;
    const params = z.strictObject({
      key: z.string(),
      boot: z.string().optional(),
      call: ForwardedCall,
    });
    methods.register(keyedCallMethods.run, params, ({key, boot, call}) => {
      if (
        boot !== undefined &&
        boot !== identity.boot &&
        !successors.hasAdopted(boot)
      )
        throw new Error('the process that was asked for is gone');
      return callRunner
        .runOnce(key, this.createCall(call))
        .catch(error => bufferResponse(createErrorResponse(error, call.id)));
    });
    methods.register(
      keyedCallMethods.unused,
      z.strictObject({key: z.string()}),
      ({key}) => !this.options.keyClaimer.hasSeen(key),
    );
    methods.register(keyedCallMethods.claim, params, ({key, call}) =>
      this.claimAndRun(key, this.createCall(call)).catch(error =>
        bufferResponse(createErrorResponse(error, call.id)),
      ),
    );
  }

  private createCall(message: ForwardedCall): AuthenticatedCall {
    return {
      ...message,
      body: Buffer.from(message.body, 'base64'),
      deadlineMs: message.deadlineMs,
      signal: new AbortController().signal,
      trace: this.options.tracing.extract(message.headers),
    };
  }
}
