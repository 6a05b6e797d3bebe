import type {Readable} from 'node:stream';
import type {ServiceResponse} from './service_response.js';
import type {ServiceRequest} from './service_request.js';

/** A runner of a plain service, which is not a model. Calls reject with {@link RunnerFailure}. */
export interface ServiceRunner {
  readonly id: string;
  readonly service: string;
  readonly place: string;
  call(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceResponse<Readable>>;
}
