/** Keys of prompt parts that runners read lately, by runner. A key is a number of 32 bits. */
export type PartNews = Readonly<Record<string, readonly number[]>>;
