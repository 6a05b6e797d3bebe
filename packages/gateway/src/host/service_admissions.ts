import {OverloadControl} from '@bayspool/decisions/admission';
import type {DemandDigest} from '@bayspool/decisions/admission';
import type {ServiceCapacity} from '@bayspool/decisions/capacity';
import {getOwn} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {MetricSample} from '../observability/metric_sample.js';
import {roundToHundredths} from '../observability/round_to_hundredths.js';
import type {ServiceCapacities} from '../runners/service_capacities.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly capacities: ServiceCapacities;
  readonly isEngine: (service: string) => boolean;
  /** Number of live hosts, this one included. */
  readonly hosts: () => number;
}

const NO_DEMAND: DemandDigest = {byPriority: {}, backlogMs: 0, rejected: 0};

/** Admission control of each service, and its exchange with other hosts. */
export class ServiceAdmissions {
  private readonly controls = new Map<string, OverloadControl>();

  constructor(private readonly options: Options) {}

  /** Admission control of a service. */
  controlOf(service: string): OverloadControl {
    const known = this.controls.get(service);
    if (known) return known;
    const {clock, hosts, isEngine} = this.options;
    const control: OverloadControl = new OverloadControl({
      clock,
      hosts,
      capacity: () => this.estimateCapacity(service),
      isPaced: () => !isEngine(service),
      onChange: isShort => this.logChange(service, control, isShort),
    });
    this.controls.set(service, control);
    return control;
  }

  /** What callers ask of each service at this host. */
  createDigest(): Record<string, DemandDigest> {
    const digest = new Map<string, DemandDigest>();
    for (const [service, control] of this.controls) {
      const demand = control.createDigest();
      if (isIdle(demand)) continue;
      digest.set(service, demand);
    }
    return Object.fromEntries(digest);
  }

  /** Applies the sum of what callers ask of each service at the other hosts. */
  applyPeerDigest(demands: Readonly<Record<string, DemandDigest>>): void {
    for (const [service, control] of this.controls)
      control.applyPeerDigest(getOwn(demands, service) ?? NO_DEMAND);
  }

  /** Figures of each service as series of a metric. */
  sample(figure: (control: OverloadControl) => number): MetricSample[] {
    return [...this.controls].map(([service, control]) => ({
      labels: {service},
      value: figure(control),
    }));
  }

  private estimateCapacity(service: string): ServiceCapacity {
    const {capacities} = this.options;
    return {
      ...capacities.get(service),
      slots: capacities.countSlots(service),
    };
  }

  private logChange(
    service: string,
    {load, waiting}: OverloadControl,
    isShort: boolean,
  ): void {
    const {slots, running, workPerMs, ageMs} = this.estimateCapacity(service);
    this.options.log.write('shortage_changed', {
      service,
      isShort,
      load: Number.isFinite(load) ? roundToHundredths(load) : null,
      slots,
      running,
      workPerMs: roundToHundredths(workPerMs),
      loadsAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
      waiting,
    });
  }
}

function isIdle({byPriority, backlogMs, rejected}: DemandDigest): boolean {
  const isAskedFor = Object.keys(byPriority).length > 0;
  return !isAskedFor && backlogMs === 0 && rejected === 0;
}
