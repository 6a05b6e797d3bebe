import got, {HTTPError, type Got} from 'got';
import {ClientFailure} from './client_failure.js';
import {ExitCode} from './exit_code.js';

interface Options {
  /** IP address and port, such as `127.0.0.1:8081`. */
  readonly address: string;
  readonly key: string;
}

const TIMEOUT_MS = 15_000;

/** HTTP client for the operator API of a host. */
export class OperatorApi {
  private readonly http: Got;

  constructor(private readonly options: Options) {
    this.http = got.extend({
      prefixUrl: `http://${options.address}`,
      headers: {authorization: `Bearer ${options.key}`},
      retry: {limit: 0},
      timeout: {request: TIMEOUT_MS},
      responseType: 'json',
    });
  }

  get<T>(path: string): Promise<T> {
    return this.send(() => this.http.get<T>(path));
  }

  post<T>(path: string, json: object): Promise<T> {
    return this.send(() => this.http.post<T>(path, {json}));
  }

  private async send<T>(call: () => Promise<{body: T}>): Promise<T> {
    try {
      return (await call()).body;
    } catch (error) {
      throw this.toFailure(error);
    }
  }

  private toFailure(error: unknown): ClientFailure {
    if (error instanceof HTTPError) {
      const body = error.response.body as
        {error?: {message?: string}} | undefined;
      const message =
        body?.error?.message ??
        `the host answered ${error.response.statusCode}`;
      return new ClientFailure(message, ExitCode.FAILED);
    }
    const why = error instanceof Error ? error.message : String(error);
    return new ClientFailure(
      `no operator door answered at ${this.options.address} (${why}); start bayspoold, or name another host with --address`,
      ExitCode.FAILED,
    );
  }
}
