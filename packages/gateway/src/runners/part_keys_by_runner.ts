/** Keys of the prompt parts that runners recently processed, by runner. A key is a 32-bit hash. */
export type PartKeysByRunner = Readonly<Record<string, readonly number[]>>;
