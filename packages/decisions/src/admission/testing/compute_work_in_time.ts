import type {LoadStream} from './load_stream.js';
import type {StreamResult} from './stream_result.js';

/** Work of the calls that were answered in time, per ms of the time counted, in ms of slot time. */
export function computeWorkInTime(
  streams: readonly LoadStream[],
  results: Readonly<Record<string, StreamResult>>,
  countedMs: number,
): number {
  let workMs = 0;
  for (const {name, workMs: each} of streams)
    workMs += results[name].inTime * each;
  return workMs / countedMs;
}
