import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {MetricSample} from './metric_sample.js';

/** Upper bounds of the latency histograms' buckets, in seconds. */
const LATENCY_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16];

/** The gateway's Prometheus metrics; label values come from bounded sets. */
export class GatewayMetrics {
  readonly registry = new Registry();
  /** Requests by route and outcome. */
  readonly requests = this.counter('requests_total', 'Requests by outcome', [
    'route',
    'kind',
    'outcome',
    'reason',
  ]);
  readonly attempts = this.counter('attempts_total', 'Attempts at runners', [
    'service',
    'outcome',
  ]);
  readonly relayedCalls = this.counter(
    'relayed_calls_total',
    'Calls that this host sent to other hosts, as it reached no runner, by outcome',
    ['service', 'outcome'],
  );
  readonly takenCalls = this.counter(
    'taken_calls_total',
    'Calls that this host took from other hosts that reach no runner',
    ['route'],
  );
  readonly settledRuns = this.counter(
    'settled_runs_total',
    'Runs that ended while nothing was heard of their runners, by what was learned of these',
    ['outcome', 'knownBy'],
  );
  readonly retries = this.counter(
    'repeats_total',
    'Attempts beyond the first of a request',
    ['service', 'reason'],
  );
  readonly scheduledRetries = this.counter(
    'scheduled_retries_total',
    'Rejections for want of capacity, by whether capacity was reserved for a retry',
    ['service', 'result'],
  );
  readonly successors = this.counter(
    'successor_runs_total',
    'Decisions on a further run of a call whose runner is silent, by what came of them',
    ['service', 'reason'],
  );
  readonly withheldChoices = this.counter(
    'withheld_choices_total',
    'Choices of a runner from which others were kept, by the bound that held',
    ['service', 'reason'],
  );
  readonly admissions = this.counter(
    'admissions_total',
    'Decisions of the admission control before the first attempt, by what came of them',
    ['service', 'outcome', 'reason'],
  );
  readonly versionChoices = this.counter(
    'version_choices_total',
    'Choices of a runner, by what decided on its version',
    ['service', 'reason', 'isGranted'],
  );
  readonly evaluatedResponses = this.counter(
    'weighed_answers_total',
    'Answers of small models, and whether they were used',
    ['route', 'isUsed'],
  );
  readonly openedConnections = this.counter(
    'runner_connections_total',
    'Connections opened to runners',
    ['service'],
  );
  readonly stopRefusals = this.counter(
    'stop_refusals_total',
    'Calls refused because they would not end before this host stops, by how far they had come and what that was taken from',
    ['route', 'phase', 'basis'],
  );
  readonly stopBegun = this.counter(
    'stop_begun_total',
    'Calls that this host began while it stopped, by what its decision was taken from',
    ['route', 'basis'],
  );
  readonly stopEscalations = this.counter(
    'stop_escalations_total',
    'Ready responses of small models that a stopping host would give up for one of the largest model, by whether it had the time and what that was taken from',
    ['route', 'basis', 'isEnough'],
  );
  readonly overdueCalls = this.counter(
    'overdue_calls_total',
    'Calls that were ended without their attempt, which went on although they were aborted',
    [],
  );
  readonly unreadResponses = this.counter(
    'unread_responses_total',
    'Responses given up because their callers took nothing of them for too long',
    [],
  );
  readonly pausedConnections = this.counter(
    'paused_connections_total',
    'Connections that were read no further for a time, as their clients send more than this host can hold, by reason',
    ['reason'],
  );
  readonly shedConnections = this.counter(
    'shed_connections_total',
    'Connections that were closed, as they held most of too many bytes that were read and not parsed',
    [],
  );
  readonly pacedResponses = this.counter(
    'paced_responses_total',
    'Responses that had to wait because of the number of their small parts',
    ['service'],
  );
  readonly givenUpResponses = this.counter(
    'given_up_responses_total',
    'Responses without a stated length that were given up for want of memory',
    ['service'],
  );
  readonly excessBytes = this.counter(
    'runner_excess_bytes_total',
    'Connections closed because bytes of the runner followed a complete response',
    ['service'],
  );
  readonly storeCalls = this.counter(
    'store_calls_total',
    'Calls to the store',
    ['call', 'topic', 'outcome'],
  );
  readonly refusedEntries = this.counter(
    'refused_entries_total',
    'Entries of the store that could not be used',
    ['topic', 'kind'],
  );
  readonly timeGaps = this.counter(
    'time_gap_seconds_total',
    'Time that the steady clock left out, or by which the time of day was set ahead',
    [],
  );
  readonly storeCallSeconds = this.histogram(
    'store_call_seconds',
    'Time to the answer of the store, the wait for a record included',
    'call',
  );
  readonly peerCalls = this.counter(
    'peer_calls_total',
    'Calls to other hosts',
    ['outcome'],
  );
  readonly firstByteSeconds = this.histogram(
    'first_byte_seconds',
    'Time to the first event or the whole answer',
  );
  readonly requestSeconds = this.histogram(
    'request_seconds',
    'Time to the end of the answer',
  );

  /** Registers a gauge whose value is read on each scrape. */
  registerGauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name: `bayspool_${name}`,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  /** Registers a labeled gauge whose series are read on each scrape; series that are gone are removed. */
  registerLabeledGauge(
    name: string,
    help: string,
    labelNames: readonly string[],
    read: () => readonly MetricSample[],
  ): void {
    const gauge: Gauge = new Gauge({
      name: `bayspool_${name}`,
      help,
      labelNames,
      registers: [this.registry],
      collect: () => {
        gauge.reset();
        for (const {labels, value} of read()) gauge.set(labels, value);
      },
    });
  }

  private counter(name: string, help: string, labelNames: string[]): Counter {
    return new Counter({
      name: `bayspool_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  private histogram(name: string, help: string, label = 'route'): Histogram {
    return new Histogram({
      name: `bayspool_${name}`,
      help,
      labelNames: [label],
      buckets: LATENCY_BUCKETS,
      registers: [this.registry],
    });
  }
}
