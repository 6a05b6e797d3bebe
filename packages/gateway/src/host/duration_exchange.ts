import type {CallRoute} from '@bayspool/decisions/calls';
import {durationKeyOf} from '@bayspool/decisions/capacity';
import type {
  DurationEstimator,
  DurationSummary,
} from '@bayspool/decisions/capacity';
import type {Clock} from '@bayspool/kernel';
import type {ActiveConfiguration} from '../discovery/active_configuration.js';
import {isToldDurations} from '../peers/is_told_durations.js';
import {MAX_TOLD_ROUTE_LENGTH} from '../peers/max_told_route_length.js';
import type {ToldDurations} from '../peers/told_durations.js';

interface Options {
  readonly clock: Clock;
  readonly configuration: Pick<ActiveConfiguration, 'current'>;
  readonly durations: DurationEstimator;
}

/** What another host told of a route. */
interface BorrowedDurations {
  readonly told: ToldDurations;
  readonly at: number;
}

/** Most routes that are asked for, or told of, at once. */
const MAX_ROUTES = 500;
/** Most characters of the names of routes that are asked for at once. */
const MAX_NAME_CHARACTERS = 32_768;
/** Calls from which on what a host tells is as good as that of any other. */
const MANY_CALLS = 100;
/** Time after which what another host told is asked for again, in ms, if few calls have ended here since. */
const REFRESH_MS = 60_000;
/** The same for what rests on few calls, in ms: rare routes stay so, and are not to be asked for of all hosts in turn. */
const FEW_CALLS_REFRESH_MS = 20_000;
/** Time after which what another host told is forgotten, in ms, if no host has told it anew. */
const MAX_BORROWED_AGE_MS = 600_000;
/** Time after which what another host told is no longer passed on, in ms. */
const MAX_RELAYED_AGE_MS = 120_000;
/** Shortest time between two questions to the same host or place, in ms. */
const ASK_INTERVAL_MS = 10_000;
/** Most questions in a window, and its length in ms: a host that answers many others asks few of them at once. */
const MAX_ASKED_IN_WINDOW = 3;
const ASK_WINDOW_MS = 1_000;
/** Significant digits of the values that are told: more change no decision, and a host tells of many routes. */
const TOLD_DIGITS = 5;
/** Hosts and places of which it is known when they were asked. */
const MAX_ASKED = 1_000;

/** Exchanges with other hosts how long calls take: a host of which too few calls of a route have ended asks for it. */
export class DurationExchange {
  private readonly borrowed = new Map<string, BorrowedDurations>();
  private readonly askedAt = new Map<string, number>();
  private windowStartedAt = -Infinity;
  private askedInWindow = 0;

  constructor(private readonly options: Options) {}

  /**
   * Lists the routes of which another host is to tell how long calls take.
   *
   * @param peer the host or place that is asked; undefined if it is not known
   * @returns their names; undefined if there is nothing to ask, or the host was asked shortly before
   */
  listWanted(peer?: string): string[] | undefined {
    if (!this.mayAsk(peer)) return undefined;
    const wanted = limitSize(this.listUnknown());
    if (wanted.length === 0) return undefined;
    this.recordAsked(peer);
    return wanted;
  }

  /** Tells what this host knows of the routes that another host asks for; undefined if that is nothing. */
  tell(wanted: unknown): ToldDurations[] | undefined {
    if (!Array.isArray(wanted)) return undefined;
    const told: ToldDurations[] = [];
    for (const route of wanted.slice(0, MAX_ROUTES) as unknown[]) {
      if (typeof route !== 'string' || route.length > MAX_TOLD_ROUTE_LENGTH)
        continue;
      const durations = this.find(route);
      if (durations) told.push(durations);
    }
    return told.length > 0 ? told : undefined;
  }

  /** Applies what another host tells of routes that this one still wants to know. */
  applyPeerDurations(told: unknown): void {
    if (!Array.isArray(told)) return;
    const wanted = new Set(this.listUnknown());
    for (const one of told.slice(0, MAX_ROUTES) as unknown[]) {
      if (!isToldDurations(one) || !wanted.has(one.route)) continue;
      if (!this.isBetter(one)) continue;
      this.options.durations.borrow(one);
      const at = this.options.clock.now();
      this.borrowed.set(one.route, {told: one, at});
    }
  }

  /** The routes in force, or models of them, of which few calls have ended here, and of which no host has told recently that knows many. */
  private listUnknown(): string[] {
    const {configuration, durations} = this.options;
    const routes = configuration.current?.routes ?? [];
    const names = routes.flatMap(listDurationKeys);
    this.forgetOthers(names.length);
    return names.filter(name => {
      if (durations.isKnown(name)) return false;
      const borrowed = this.borrowed.get(name);
      if (!borrowed) return true;
      const ageMs = this.ageMsOf(borrowed);
      if (ageMs > MAX_BORROWED_AGE_MS) this.forget(name);
      const isFew = borrowed.told.count < MANY_CALLS;
      return ageMs >= (isFew ? FEW_CALLS_REFRESH_MS : REFRESH_MS);
    });
  }

  /** Whether what a host tells rests on more calls than what was told before, or that is old. */
  private isBetter({route, count}: ToldDurations): boolean {
    const borrowed = this.borrowed.get(route);
    if (!borrowed || count > borrowed.told.count) return true;
    return this.ageMsOf(borrowed) >= REFRESH_MS;
  }

  private ageMsOf({at}: BorrowedDurations): number {
    return this.options.clock.now() - at;
  }

  private forget(route: string): void {
    this.borrowed.delete(route);
    this.options.durations.forgetBorrowed(route);
  }

  /** Forgets what was told of routes, most of which are no longer in force. */
  private forgetOthers(routeCount: number): void {
    if (this.borrowed.size > MAX_ROUTES + routeCount) this.borrowed.clear();
  }

  /** What this host can tell of a route: what rests on more calls. */
  private find(route: string): ToldDurations | undefined {
    const own = this.options.durations.summarize(route);
    const passed = this.findPassed(route);
    if (!own || (passed && passed.count > own.count)) return passed;
    const {count, total, perToken} = own;
    return {
      route,
      count,
      total: shorten(total),
      perToken: perToken && shorten(perToken),
    };
  }

  private findPassed(route: string): ToldDurations | undefined {
    const borrowed = this.borrowed.get(route);
    if (!borrowed || borrowed.told.isRelayed) return undefined;
    if (this.ageMsOf(borrowed) > MAX_RELAYED_AGE_MS) return undefined;
    const {count, total, perToken} = borrowed.told;
    return {route, count, total, perToken, isRelayed: true};
  }

  private mayAsk(peer: string | undefined): boolean {
    const now = this.options.clock.now();
    if (now - this.windowStartedAt >= ASK_WINDOW_MS) {
      this.windowStartedAt = now;
      this.askedInWindow = 0;
    }
    if (this.askedInWindow >= MAX_ASKED_IN_WINDOW) return false;
    const askedAt = peer === undefined ? undefined : this.askedAt.get(peer);
    return askedAt === undefined || now - askedAt >= ASK_INTERVAL_MS;
  }

  private recordAsked(peer: string | undefined): void {
    this.askedInWindow += 1;
    if (peer === undefined) return;
    if (this.askedAt.size >= MAX_ASKED) this.askedAt.clear();
    this.askedAt.set(peer, this.options.clock.now());
  }
}

/** Lists the names under which durations of a route's calls are kept; only its smallest and its largest model run calls. */
function listDurationKeys(route: CallRoute): string[] {
  const {models} = route;
  const running = new Set([models[0], models[models.length - 1]]);
  return [...running].map(model => durationKeyOf(route, model));
}

/** Returns the first names, as many as may be asked for at once. */
function limitSize(names: readonly string[]): string[] {
  let characters = 0;
  return names.slice(0, MAX_ROUTES).filter(name => {
    if (name.length > MAX_TOLD_ROUTE_LENGTH) return false;
    characters += name.length;
    return characters <= MAX_NAME_CHARACTERS;
  });
}

function shorten({logMean, logVariance, longestMs}: DurationSummary) {
  return {
    logMean: round(logMean),
    logVariance: round(logVariance),
    longestMs: round(longestMs),
  };
}

function round(value: number): number {
  return Number(value.toPrecision(TOLD_DIGITS));
}
