import type {
  CallConfiguration,
  CordonOrder,
  RolloutOrder,
  RolloutState,
  RunnerEntry,
} from '@bayspool/decisions/calls';
import type {KeyedRecord} from '../records/keyed_record.js';

/** Decodes the platform's records into the gateway's types; throws an error that names a remedy if it cannot. */
export interface RecordReader {
  /** Key of the configuration in the operator's topic. */
  readonly configurationKey: string;
  readConfiguration(record: KeyedRecord): CallConfiguration;
  /** Undefined if the record is not a rollout order. */
  readRolloutOrder(record: KeyedRecord): RolloutOrder | undefined;
  /** Undefined if the record is not a cordon order; a removed record ends the order. */
  readCordonOrder(record: KeyedRecord): CordonOrder | undefined;
  readRunner(record: KeyedRecord): RunnerEntry;
  /** Undefined if the record is not a rollout state. */
  readRolloutState(record: KeyedRecord): RolloutState | undefined;
  /** Encodes the record that reports a rollout's phase to operators. */
  writeRolloutState(state: Omit<RolloutState, 'offset'>): {
    key: string;
    value: string;
  };
}
