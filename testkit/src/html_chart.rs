//! Draws counts by second as a self-contained HTML page.

use std::fmt::Write;

/// A series of counts, one for each second.
pub struct Row {
    /// The caption of the series.
    pub name: String,
    /// The count of each second, starting with the first one.
    pub by_second: Vec<usize>,
}

/// The width of a chart, in pixels.
const WIDTH: usize = 900;
/// The height of a chart, in pixels.
const HEIGHT: usize = 120;

/// Escapes the characters that HTML would read as markup.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Returns a page with a chart for each row, and a table of all counts. The charts share the time axis, and each is
/// scaled to its own maximum.
pub fn page(title: &str, rows: &[Row]) -> String {
    let title = escape(title);
    let seconds = rows
        .iter()
        .map(|row| row.by_second.len())
        .max()
        .unwrap_or(0)
        .max(1);
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title><style>\
         body{{font:14px sans-serif;margin:2em}}rect{{fill:#357}}td,th{{padding:0 .4em;text-align:right}}</style>\
         </head><body><h1>{title}</h1>\n"
    );
    for row in rows {
        let max = row.by_second.iter().max().copied().unwrap_or(0);
        let sum: usize = row.by_second.iter().sum();
        _ = write!(
            page,
            "<h2>{}: {sum}, at most {max} in one second</h2>\n<svg width=\"{WIDTH}\" ",
            escape(&row.name)
        );
        _ = writeln!(
            page,
            "height=\"{HEIGHT}\" viewBox=\"0 0 {WIDTH} {HEIGHT}\">"
        );
        let width = WIDTH as f64 / seconds as f64;
        for (second, count) in row.by_second.iter().enumerate() {
            let height = (count * HEIGHT) as f64 / max.max(1) as f64;
            let (x, y) = (second as f64 * width, HEIGHT as f64 - height);
            _ = writeln!(
                page,
                "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{height:.1}\"><title>second {second}: {count}</title></rect>",
                width * 0.9
            );
        }
        page.push_str("</svg>\n");
    }
    page.push_str("<table><tr><th>second</th>");
    rows.iter()
        .for_each(|row| _ = write!(page, "<th>{}</th>", escape(&row.name)));
    page.push_str("</tr>\n");
    for second in 0..seconds {
        _ = write!(page, "<tr><td>{second}</td>");
        rows.iter().for_each(|row| {
            _ = write!(
                page,
                "<td>{}</td>",
                row.by_second
                    .get(second)
                    .map_or(String::new(), usize::to_string)
            );
        });
        page.push_str("</tr>\n");
    }
    page.push_str("</table></body></html>\n");
    page
}

#[cfg(test)]
#[path = "html_chart_tests.rs"]
mod tests;
