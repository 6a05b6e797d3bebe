import {
  ROOT_CONTEXT,
  SpanKind,
  SpanStatusCode,
  trace,
} from '@opentelemetry/api';
import type {Attributes, Context, Span} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-base';

interface Options {
  readonly program: string;
  readonly collector?: string;
  readonly sample: number;
}

/** Carrier of `traceparent` between processes. */
type Carrier = Record<string, unknown>;

/** Spans for each hop of a request, exported by OTLP when a collector is set. */
export class Tracing {
  private readonly provider: BasicTracerProvider;
  private readonly propagator = new W3CTraceContextPropagator();

  constructor(options: Options) {
    this.provider = new BasicTracerProvider({
      resource: resourceFromAttributes({'service.name': options.program}),
      sampler: new ParentBasedSampler({
        root: new TraceIdRatioBasedSampler(
          options.collector ? options.sample : 0,
        ),
      }),
      spanProcessors: options.collector
        ? [
            new BatchSpanProcessor(
              new OTLPTraceExporter({url: options.collector}),
            ),
          ]
        : [],
    });
  }

  /** Starts a span under `parent`; the caller ends it. */
  start(name: string, parent: Context, attributes: Attributes = {}): Span {
    return this.provider
      .getTracer('bayspool')
      .startSpan(name, {kind: SpanKind.INTERNAL, attributes}, parent);
  }

  /** The context that makes `span` the parent of later spans. */
  under(span: Span, parent: Context = ROOT_CONTEXT): Context {
    return trace.setSpan(parent, span);
  }

  /** Reads the caller's `traceparent`, if there is one. */
  extract(carrier: Carrier): Context {
    return this.propagator.extract(ROOT_CONTEXT, carrier, {
      get: (from, key) => from[key] as string | undefined,
      keys: from => Object.keys(from),
    });
  }

  /** Headers that pass the context on to the next process. */
  inject(from: Context): Record<string, string> {
    const headers: Record<string, string> = {};
    this.propagator.inject(from, headers, {
      set: (to, key, value) => (to[key] = value),
    });
    return headers;
  }

  /** Runs `work` inside a span that ends with it and records its failure. */
  async run<T>(
    name: string,
    parent: Context,
    work: (inner: Context) => Promise<T>,
  ): Promise<T> {
    const span = this.start(name, parent);
    try {
      return await work(this.under(span, parent));
    } catch (error) {
      span.setStatus({code: SpanStatusCode.ERROR, message: String(error)});
      throw error;
    } finally {
      span.end();
    }
  }

  async stop(): Promise<void> {
    await this.provider.shutdown();
  }
}
