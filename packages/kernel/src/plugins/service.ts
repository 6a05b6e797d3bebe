/** Something with a life cycle: started in the order of binding, stopped in reverse. */
export interface Service {
  readonly name: string;
  start(): Promise<void>;
  /** Ends the service; work in progress is finished first. */
  stop(): Promise<void>;
}
