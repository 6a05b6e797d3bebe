import type {ServiceIdentifier} from 'inversify';

/** Names a dependency of type `T` in the container. */
export function token<T>(name: string): ServiceIdentifier<T> {
  return Symbol.for(`bayspool.${name}`);
}
