import {DecoratorHandler, type Dispatcher} from 'undici';

type Headers = Parameters<
  NonNullable<Dispatcher.DispatchHandler['onResponseStart']>
>[2];

interface Options {
  /** Returns the failure that a response reports if it is a refusal. */
  readonly readRefusal: (status: number, headers: Headers) => Error | undefined;
}

/** Fails a refused request and closes its connection. */
class RefusalHandler extends DecoratorHandler {
  constructor(
    private readonly inner: Dispatcher.DispatchHandler,
    private readonly options: Options,
  ) {
    super(inner);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Headers,
    statusText: string,
  ): void {
    const failure = this.options.readRefusal(status, headers);
    if (failure) controller.abort(failure);
    else this.inner.onResponseStart?.(controller, status, headers, statusText);
  }
}

/**
 * Closes the connection behind each refusal. A refusal names no request, so that one which is repeated late on the same
 * connection would pass for that of the next request.
 */
export function closeRefusedConnections(
  options: Options,
): Dispatcher.DispatcherComposeInterceptor {
  return dispatch => (request, handler) =>
    dispatch(request, new RefusalHandler(handler, options));
}
