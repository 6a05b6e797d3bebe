import 'reflect-metadata';
import {randomInt} from 'node:crypto';
import {Container} from 'inversify';
import type {Clock} from './clock/clock.js';
import {SystemClock} from './clock/system_clock.js';
import {createLogger} from './observability/create_logger.js';
import type {Logger} from './observability/logger.js';
import {Metrics} from './observability/metrics.js';
import {observabilitySections} from './observability/observability_sections.js';
import {Tracing} from './observability/tracing.js';
import type {Plugin} from './plugins/plugin.js';
import type {Service} from './plugins/service.js';
import {tokens} from './plugins/tokens.js';
import type {RandomSource} from './random/random_source.js';
import {SeededRandom} from './random/seeded_random.js';
import type {Settings} from './settings/settings.js';

interface Options {
  readonly settings: Settings;
  readonly plugins: readonly Plugin[];
  /** The program's name in logs and traces. */
  readonly program: string;
  /** The system's clock when absent. */
  readonly clock?: Clock;
  /** Seeded from the system when absent. */
  readonly random?: RandomSource;
  readonly logger?: Logger;
  /** Which services are started; all when absent. */
  readonly starts?: (service: Service) => boolean;
}

const SEED_BOUND = 2 ** 31;

/** Wires the chosen plug-ins together and runs their services. It knows no domain. */
export class Kernel {
  readonly container = new Container();
  private readonly running: Service[] = [];

  constructor(private readonly options: Options) {
    const {settings, plugins} = options;
    settings.check([
      ...Object.values(observabilitySections),
      ...plugins.flatMap(plugin => plugin.sections),
    ]);
    this.bindOwn();
    for (const plugin of plugins) {
      if (plugin.enabled && !plugin.enabled(settings)) continue;
      plugin.install(this.container, settings);
    }
  }

  get logger(): Logger {
    return this.container.get(tokens.logger);
  }

  async start(): Promise<void> {
    const services = this.container.isBound(tokens.service)
      ? this.container.getAll(tokens.service)
      : [];
    const {starts = () => true} = this.options;
    for (const service of services.filter(starts)) {
      this.logger.debug('service starts', {service: service.name});
      await service.start();
      this.running.push(service);
    }
  }

  async stop(): Promise<void> {
    for (const service of this.running.splice(0).reverse()) {
      this.logger.debug('service stops', {service: service.name});
      await service.stop();
    }
    await this.container.get(tokens.tracing).stop();
  }

  private bindOwn(): void {
    const {settings, program} = this.options;
    const logging = settings.one(observabilitySections.logging);
    const tracing = settings.one(observabilitySections.tracing);
    this.container
      .bind(tokens.clock)
      .toConstantValue(this.options.clock ?? new SystemClock());
    this.container
      .bind(tokens.random)
      .toConstantValue(
        this.options.random ?? new SeededRandom(randomInt(SEED_BOUND)),
      );
    this.container
      .bind(tokens.logger)
      .toConstantValue(
        this.options.logger ?? createLogger({program, ...logging}),
      );
    this.container.bind(tokens.metrics).toConstantValue(new Metrics());
    this.container
      .bind(tokens.tracing)
      .toConstantValue(new Tracing({program, ...tracing}));
  }
}
