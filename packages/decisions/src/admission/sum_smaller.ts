/** Sums the demand of one priority's calls up to a size. */
export function sumSmaller(
  bySize: ReadonlyMap<string, number>,
  priority: number,
  largest: number,
): number {
  let sum = 0;
  for (let size = 0; size <= largest; size++)
    sum += bySize.get(`${priority}/${size}`) ?? 0;
  return sum;
}
