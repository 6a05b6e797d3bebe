/** Keys of prompt parts that runners read lately, by runner. A key is a number of 32 bits. */
export type PartKeysByRunner = Readonly<Record<string, readonly number[]>>;
