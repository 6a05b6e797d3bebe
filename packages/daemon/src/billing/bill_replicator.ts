import type {Bill, HostSummary, Membership} from '@bayspool/decisions';
import type {Logger, RandomSource} from '@bayspool/kernel';
import type {HostIdentity} from '../host/host_identity.js';
import type {PeerClient} from '../peers/peer_client.js';
import {billMethods} from './bill_methods.js';

interface Options {
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly identity: HostIdentity;
  readonly membership: Membership;
  readonly client: PeerClient;
  readonly timeoutMs: number;
}

interface Batch {
  readonly bills: Bill[];
  readonly done: Promise<boolean>;
}

type Peer = Pick<HostSummary, 'id' | 'address'>;

const MAX_LOCAL_TRIES = 2;
const MAX_REMOTE_TRIES = 2;

/**
 * Replicates bills to a second host: one of this place, or one of another place when
 * none here accepts them. Bills that arrive during a call are batched into the next.
 */
export class BillReplicator {
  private nextBatch: Batch | undefined;
  private lastSend: Promise<unknown> = Promise.resolve();
  /** Address of the host that holds each bill, by bill id. */
  private readonly holderByBill = new Map<string, string>();

  constructor(private readonly options: Options) {}

  /** Resolves to true when a second host holds the bill. */
  replicate(bill: Bill): Promise<boolean> {
    if (!this.nextBatch) {
      const bills: Bill[] = [];
      const done = this.lastSend.then(() => this.sendNextBatch());
      this.nextBatch = {bills, done};
      this.lastSend = done.catch(() => false);
    }
    this.nextBatch.bills.push(bill);
    return this.nextBatch.done;
  }

  /** Tells the holders to drop bills that are in the log. */
  async releaseHolders(ids: readonly string[]): Promise<void> {
    const byHolder = new Map<string, string[]>();
    for (const id of ids) {
      const holder = this.holderByBill.get(id);
      if (holder === undefined) continue;
      this.holderByBill.delete(id);
      byHolder.set(holder, [...(byHolder.get(holder) ?? []), id]);
    }
    const calls = [...byHolder].map(([address, settledIds]) =>
      this.options.client
        .call(address, billMethods.settled, {ids: settledIds})
        .catch(() => undefined),
    );
    await Promise.all(calls);
  }

  /** Transfers ownership of bills to another host; true when one accepted them. */
  async handOff(bills: readonly Bill[]): Promise<boolean> {
    return (
      (await this.sendToAnyPeer(billMethods.adopt, {bills: [...bills]})) !==
      undefined
    );
  }

  private async sendNextBatch(): Promise<boolean> {
    const {bills} = this.nextBatch!;
    this.nextBatch = undefined;
    const {id, boot} = this.options.identity;
    const holder = await this.sendToAnyPeer(billMethods.hold, {
      owner: id,
      boot,
      bills,
    });
    if (holder === undefined) return false;
    bills.forEach(bill => this.holderByBill.set(bill.id, holder));
    return true;
  }

  /** Sends bills to one candidate after another; returns the address of the first that accepts them. */
  private async sendToAnyPeer(
    method: string,
    params: object,
  ): Promise<string | undefined> {
    const {client, logger, timeoutMs} = this.options;
    for (const {id, address} of this.listCandidates()) {
      try {
        if (await client.call(address, method, params, {timeoutMs}))
          return address;
      } catch (error) {
        logger.debug('bills not taken', {host: id, error: String(error)});
      }
    }
    return undefined;
  }

  private listCandidates(): Peer[] {
    const {membership, identity} = this.options;
    const local = this.rotateRandomly(membership.listAvailablePeers()).slice(
      0,
      MAX_LOCAL_TRIES,
    );
    const remoteHosts = membership
      .listDigests()
      .flatMap(digest => digest.hosts);
    const staying = remoteHosts.filter(host => !host.leaving);
    const remote = this.rotateRandomly(staying).slice(0, MAX_REMOTE_TRIES);
    const leavingPeers = membership
      .listAlive()
      .filter(entry => entry.leaving && entry.id !== identity.id);
    return [...local, ...remote, ...leavingPeers.slice(0, 1)];
  }

  private rotateRandomly<T>(items: readonly T[]): T[] {
    const start =
      items.length > 0 ? this.options.random.below(items.length) : 0;
    return [...items.slice(start), ...items.slice(0, start)];
  }
}
