import type {
  CallConfiguration,
  CordonOrder,
  RolloutOrder,
  RolloutState,
  RunnerEntry,
} from '@bayspool/decisions/calls';
import type {KeyedRecord} from '../records/keyed_record.js';

/** Turns the platform's records into the gateway's types; throws with a remedy on what it can't read. */
export interface RecordReader {
  /** The newest configuration's key in the topic of the operator. */
  readonly configurationKey: string;
  readConfiguration(record: KeyedRecord): CallConfiguration;
  /** Undefined if the record is no order for a roll-out. */
  readRolloutOrder(record: KeyedRecord): RolloutOrder | undefined;
  /** Undefined if the record is no order on a place; one that was removed is the end of the order. */
  readCordonOrder(record: KeyedRecord): CordonOrder | undefined;
  readRunner(record: KeyedRecord): RunnerEntry;
  /** Undefined if the record is not about a roll-out. */
  readRolloutState(record: KeyedRecord): RolloutState | undefined;
  /** The record that tells operators of a roll-out's phase. */
  writeRolloutState(state: Omit<RolloutState, 'offset'>): {
    key: string;
    value: string;
  };
}
