import {Readable} from 'node:stream';
import type {
  ServiceRunner,
  ServiceResponse,
  ServiceRequest,
} from '@bayspool/decisions';
import type {PackApp} from './pack_app.js';

interface Options {
  readonly id: string;
  readonly service: string;
  readonly place: string;
  readonly app: PackApp;
}

/** A plain service inside the daemon's process. */
export class EmbeddedService implements ServiceRunner {
  readonly id: string;
  readonly service: string;
  readonly place: string;

  constructor(private readonly options: Options) {
    this.id = options.id;
    this.service = options.service;
    this.place = options.place;
  }

  async call(request: ServiceRequest): Promise<ServiceResponse<Readable>> {
    const answer = await this.options.app.handle(request);
    return {...answer, body: Readable.from([answer.body])};
  }
}
