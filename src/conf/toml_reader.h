/*
 * Reads TOML tables into C structures (C++). A wrong field throws no exception: the first one is
 * recorded and reported to the operator.
 */
#ifndef PLOVERLOFT_TOML_READER_H
#define PLOVERLOFT_TOML_READER_H

#include <cstddef>
#include <cstdio>
#include <cstring>
#include <sstream>
#include <string>
#include <utility>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "conf/conf.h"
#include "util/xalloc.h"

using node_view = toml::node_view<toml::node>;

/* Whether a field may be absent. */
enum class presence { required, optional };

/* Minimum values of number fields, and the maximum of all number fields. */
constexpr double not_negative = 0;
constexpr double above_zero = 1e-9;
constexpr double number_max = 1e12;

/* Reads fields into C structures and records the first error. The target of a wrong field stays
 * unchanged. */
class field_reader
{
      public:
	/* Whether a field was wrong. */
	bool failed() const
	{
		return !error_.empty();
	}

	/* The first error: the field and the reason; empty if there was none. */
	const std::string &error() const
	{
		return error_;
	}

	/* Records an error unless there was one before. */
	void fail(const std::string &field, const std::string &reason)
	{
		if (!failed())
			error_ = "field " + field + ": " + reason;
	}

	/* Reads a required string of 1 to CONF_NAME_MAX - 1 bytes, and adds a NUL. */
	void text(const node_view &node, const std::string &field, char (&out)[CONF_NAME_MAX])
	{
		auto value = node.value_exact<std::string>();

		if (!node)
			return fail(field, "missing");
		if (!value)
			return fail(field, "must be a string, is " + value_text(node));
		if (value->empty() || value->size() >= sizeof(out))
			return fail(field, "must have 1 to " + std::to_string(sizeof(out) - 1) +
					       " bytes, has " + std::to_string(value->size()));
		out[value->copy(out, sizeof(out) - 1)] = 0;
	}

	/* Reads a required string of the form HOST:PORT. Host and port are checked when the address
	 * is used. */
	void address(const node_view &node, const std::string &field, char (&out)[CONF_NAME_MAX])
	{
		text(node, field, out);
		if (!failed() && !std::strrchr(out, ':'))
			fail(field, "must be HOST:PORT, is " + value_text(node));
	}

	/* Reads a number from `min` to number_max. If an optional number is absent, `*out` is
	 * unchanged. */
	void number(const node_view &node, const std::string &field, double *out, presence needed,
		    double min)
	{
		auto value = node.value<double>();

		if (!node) {
			if (needed == presence::required)
				fail(field, "missing");
			return;
		}
		if (!node.is_number() || !value)
			return fail(field, "must be a number, is " + value_text(node));
		if (!(*value >= min) || *value > number_max)
			return fail(field, range_error(*value, min));
		*out = *value;
	}

	/* The text of a value for a message. For a table or an array, the text is only the type. */
	static std::string value_text(const node_view &node)
	{
		std::ostringstream out;

		if (node.is_table())
			return "a table";
		if (node.is_array())
			return "an array";
		out << node;
		return out.str();
	}

      private:
	/* The message for a number that is not from `min` to number_max. */
	static std::string range_error(double value, double min)
	{
		char text[CONF_ERR_MAX];

		if (value > number_max)
			std::snprintf(text, sizeof(text), "must be at most %g, is %g", number_max,
				      value);
		else if (min > above_zero)
			std::snprintf(text, sizeof(text), "must be at least %g, is %g", min, value);
		else
			std::snprintf(text, sizeof(text), "must %s, is %g",
				      min > 0 ? "be above zero" : "not be negative", value);
		return text;
	}

	std::string error_;
};

/* Reads the fields of one table. Errors name a field by its full path, TABLE.FIELD. */
class table_reader
{
      public:
	table_reader(field_reader &fields, node_view table, std::string name)
	    : fields_(fields), table_(table), name_(std::move(name))
	{
	}

	/* Whether the table has the key. */
	bool has(const char *key) const
	{
		return static_cast<bool>(table_[key]);
	}

	/* Reads a required string. */
	void text(const char *key, char (&out)[CONF_NAME_MAX])
	{
		fields_.text(table_[key], path(key), out);
	}

	/* Reads a required address, HOST:PORT. */
	void address(const char *key, char (&out)[CONF_NAME_MAX])
	{
		fields_.address(table_[key], path(key), out);
	}

	/* Reads a required number of at least `min`. */
	void required(const char *key, double *out, double min)
	{
		fields_.number(table_[key], path(key), out, presence::required, min);
	}

	/* Reads an optional number that is not negative. */
	void optional(const char *key, double *out)
	{
		fields_.number(table_[key], path(key), out, presence::optional, not_negative);
	}

	/* Reads a number of at least `min`. */
	void number(const char *key, double *out, presence needed, double min)
	{
		fields_.number(table_[key], path(key), out, needed, min);
	}

	/* Returns a reader of the table under `key`, which may be absent. */
	table_reader operator[](const char *key) const
	{
		return table_reader(fields_, table_[key], path(key));
	}

	/*
	 * Reads an optional array of tables: allocates a zeroed T for each table and calls
	 * `read_element` to fill it. The caller frees `*out`. After an error, `*count` is the
	 * number of elements that were read.
	 */
	template <typename T, typename ReadElement>
	void array(const char *key, T **out, size_t *count, ReadElement read_element)
	{
		node_view node = table_[key];
		auto *elements = node.as_array();

		*count = 0;
		if (!node)
			return;
		if (!elements)
			return fields_.fail(path(key), "must be an array of tables, is " +
							   field_reader::value_text(node));
		*out = static_cast<T *>(xcalloc(elements->size(), sizeof(T)));
		for (auto &element : *elements) {
			std::string name = path(key) + "[" + std::to_string(*count) + "]";

			if (!element.is_table())
				return fields_.fail(
				    name, "must be a table, is " +
					      field_reader::value_text(node_view(element)));
			table_reader table(fields_, node_view(element), name);
			read_element(table, (*out)[*count]);
			(*count)++;
		}
	}

	/* Records an error if the key exists but is not a table. An absent table is no error: if it
	 * has required fields, they are reported as missing. */
	void require_table_if_present()
	{
		if (table_ && !table_.is_table())
			fields_.fail(name_,
				     "must be a table, is " + field_reader::value_text(table_));
	}

      private:
	/* The full name of a field, from the top of the file. */
	std::string path(const char *key) const
	{
		return name_.empty() ? std::string(key) : name_ + "." + key;
	}

	field_reader &fields_;
	node_view table_;
	std::string name_;
};

#endif
