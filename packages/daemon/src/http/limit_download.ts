import {MessageSize} from '@bayspool/kernel';
import type {HandlerFunction} from 'got';

interface Options {
  readonly maxBytes: number;
}

/** Creates a handler of got that fails a request whose response is too large; responses that are streamed are not counted. */
export function limitDownload(options: Options): HandlerFunction {
  return (request, next) => {
    const result = next(request);
    if (request.isStream || !('cancel' in result)) return result;
    const size = new MessageSize(options);
    let excess: unknown;
    void result.on('downloadProgress', ({transferred}) => {
      try {
        size.add(transferred - size.bytes);
      } catch (error) {
        excess = error;
        result.cancel();
      }
    });
    const checked = result.catch(error => {
      throw excess ?? error;
    });
    // Resolves to what the result resolves to, for which got's types have no name.
    return checked as Promise<never>;
  };
}
