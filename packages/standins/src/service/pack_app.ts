import {randomUUID} from 'node:crypto';
import type {ServiceResponse, ServiceRequest} from '@bayspool/decisions';
import type {Clock} from '@bayspool/kernel';
import {sleep} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** How long each call takes, in ms. */
  readonly workMs?: number;
}

/** A slip that ran. */
interface Slip {
  readonly slip: string;
  readonly request_id: string;
}

const WORK_MS = 5;

/** A packing app: courier slips, each run of which makes a new one, and pick labels. */
export class PackApp {
  private readonly slips: Slip[] = [];

  constructor(private readonly options: Options) {}

  async handle(request: ServiceRequest): Promise<ServiceResponse<Buffer>> {
    const path = request.path.split('?')[0];
    if (request.method === 'GET' && path === '/slips')
      return json(200, this.slips);
    if (request.method === 'POST' && path === '/slips')
      return json(201, await this.addSlip(request.requestId));
    if (request.method === 'POST' && path === '/labels')
      return json(200, await this.printLabel(request));
    if (path === '/echo') return json(200, echo(request));
    return json(404, {error: `nothing at ${path}`});
  }

  private async addSlip(requestId: string): Promise<Slip> {
    const slip = {slip: randomUUID(), request_id: requestId};
    this.slips.push(slip);
    await this.work();
    return slip;
  }

  private async printLabel(request: ServiceRequest): Promise<object> {
    await this.work();
    return {label: request.body.toString('utf8').slice(0, 80)};
  }

  private work(): Promise<void> {
    return sleep(this.options.clock, this.options.workMs ?? WORK_MS);
  }
}

function echo(request: ServiceRequest): object {
  return {
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body.toString('utf8'),
  };
}

function json(status: number, value: unknown): ServiceResponse<Buffer> {
  return {
    status,
    headers: {'content-type': 'application/json'},
    body: Buffer.from(JSON.stringify(value)),
  };
}
