import type {
  CallConfiguration,
  CallRoute,
  ApiKeyOwner,
  CordonOrder,
  RolloutOrder,
  RolloutState,
  RunnerEntry,
} from '@bayspool/decisions/calls';
import type {RecordReader} from '../discovery/record_reader.js';
import type {KeyedRecord} from '../records/keyed_record.js';

/** A configuration as tests write it: the gateway's own types, with plain objects in place of maps. */
interface PlainConfiguration {
  readonly version: number;
  readonly routes: readonly CallRoute[];
  readonly maxConnections: Readonly<Record<string, number>>;
  /** Applies to every service. */
  readonly coldCallsPerSecond?: number;
  readonly limits: CallConfiguration['limits'];
  readonly keys?: Readonly<Record<string, ApiKeyOwner>>;
}

const ROLLOUT_PREFIX = 'rollout/';
const CORDON_PREFIX = 'cordon/';

/** Reads records that hold the gateway's own types as JSON. */
export class PlainReader implements RecordReader {
  readonly configurationKey = 'configuration';

  readConfiguration({value = ''}: KeyedRecord): CallConfiguration {
    const plain = JSON.parse(value) as PlainConfiguration;
    const services = Object.entries(plain.maxConnections).map(
      ([name, maxConnections]) =>
        [
          name,
          {name, maxConnections, coldCallsPerSecond: plain.coldCallsPerSecond},
        ] as const,
    );
    return {
      ...plain,
      services: new Map(services),
      keys: plain.keys && new Map(Object.entries(plain.keys)),
    };
  }

  readRolloutOrder({
    key,
    value,
    offset,
  }: KeyedRecord): RolloutOrder | undefined {
    if (!key.startsWith(ROLLOUT_PREFIX) || !value) return undefined;
    return {...(JSON.parse(value) as RolloutOrder), offset};
  }

  readCordonOrder({key, value}: KeyedRecord): CordonOrder | undefined {
    if (!key.startsWith(CORDON_PREFIX)) return undefined;
    const place = key.slice(CORDON_PREFIX.length);
    return {place, isCordoned: value !== undefined};
  }

  readRunner({value = ''}: KeyedRecord): RunnerEntry {
    return JSON.parse(value) as RunnerEntry;
  }

  readRolloutState({
    key,
    value,
    offset,
  }: KeyedRecord): RolloutState | undefined {
    if (!key.startsWith(ROLLOUT_PREFIX) || !value) return undefined;
    return {...(JSON.parse(value) as RolloutState), offset};
  }

  writeRolloutState(state: Omit<RolloutState, 'offset'>): {
    key: string;
    value: string;
  } {
    return {
      key: ROLLOUT_PREFIX + state.service,
      value: JSON.stringify(state),
    };
  }
}
